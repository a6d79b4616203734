/** The program `hibiscus-fakes`: one stand-in for each process. */
import sade from 'sade';

import { Cutter, createCutterAdmin, parseAddress } from './cutter';
import { ROLES, createRole } from './roles';
import { FakeServer } from './server';

interface Flags {
  listen: string;
  settings: string;
  seed: string;
  target: string;
  'admin-listen': string;
}

sade('hibiscus-fakes <role>', true)
  .describe(`Stands in for one service. Roles: ${[...ROLES, 'cutter'].join(', ')}.`)
  .option('--listen', 'Address to listen on, host:port', '127.0.0.1:0')
  .option('--settings', 'Settings to begin with, as JSON', '{}')
  .option('--seed', 'Seed of the random faults', '1')
  .option('--target', 'Where a cutter forwards to, host:port', '127.0.0.1:1')
  .option('--admin-listen', "Address of a cutter's controls, host:port", '127.0.0.1:0')
  .action(run)
  .parse(process.argv);

async function run(role: string, flags: Flags): Promise<void> {
  try {
    await (role === 'cutter' ? runCutter(flags) : runRole(role, flags));
  } catch (error) {
    process.stderr.write(`${String(error)}\n`);
    process.exit(2);
  }
}

async function runRole(role: string, flags: Flags): Promise<void> {
  const options = { seed: Number(flags.seed), settings: JSON.parse(flags.settings) as unknown };
  const standIns = createRole(role, options);
  if (!standIns) throw new Error(`Unknown role ${role}.`);
  const server = await FakeServer.start(standIns, parseAddress(flags.listen));
  announce({ listening: server.address });
  stopOnSignal(() => server.close());
}

async function runCutter(flags: Flags): Promise<void> {
  const cutter = await Cutter.start(flags);
  const admin = createCutterAdmin(cutter);
  const url = await admin.listen(parseAddress(flags['admin-listen']));
  announce({ listening: cutter.address, admin: new URL(url).host });
  stopOnSignal(async () => {
    await admin.close();
    await cutter.close();
  });
}

function announce(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function stopOnSignal(stop: () => Promise<void>): void {
  (['SIGINT', 'SIGTERM'] as const).forEach((signal) => {
    process.once(signal, () => {
      void stop().then(() => process.exit(0));
    });
  });
}
