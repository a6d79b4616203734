/** The program `hibiscus-fakes`: runs the fake services of one role, or a fault proxy. */
import sade from 'sade';

import { FaultProxy, createFaultProxyAdmin, parseAddress } from './fault-proxy';
import { ROLES, createFakes } from './roles';
import { FakeServer } from './server';

interface Flags {
  listen: string;
  settings: string;
  seed: string;
  target: string;
  'admin-listen': string;
}

sade('hibiscus-fakes <role>', true)
  .describe(
    `Runs a fake of a service, or a TCP proxy with faults. Roles: ${[...ROLES, 'cutter'].join(', ')}.`,
  )
  .option('--listen', 'Address to listen on, host:port', '127.0.0.1:0')
  .option('--settings', 'Initial settings, as JSON', '{}')
  .option('--seed', 'Seed of the random faults', '1')
  .option('--target', 'Address that the role cutter forwards to, host:port', '127.0.0.1:1')
  .option(
    '--admin-listen',
    'Address of the admin server of the role cutter, host:port',
    '127.0.0.1:0',
  )
  .action(run)
  .parse(process.argv);

async function run(role: string, flags: Flags): Promise<void> {
  try {
    await (role === 'cutter' ? runFaultProxy(flags) : runRole(role, flags));
  } catch (error) {
    process.stderr.write(`${String(error)}\n`);
    process.exit(2);
  }
}

async function runRole(role: string, flags: Flags): Promise<void> {
  const options = { seed: Number(flags.seed), settings: JSON.parse(flags.settings) as unknown };
  const services = createFakes(role, options);
  if (!services) throw new Error(`Unknown role ${role}.`);
  const server = await FakeServer.start(services, parseAddress(flags.listen));
  printReady({ listening: server.address });
  stopOnSignal(() => server.close());
}

async function runFaultProxy(flags: Flags): Promise<void> {
  const proxy = await FaultProxy.start(flags);
  const admin = createFaultProxyAdmin(proxy);
  const url = await admin.listen(parseAddress(flags['admin-listen']));
  printReady({ listening: proxy.address, admin: new URL(url).host });
  stopOnSignal(async () => {
    await admin.close();
    await proxy.close();
  });
}

function printReady(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function stopOnSignal(stop: () => Promise<void>): void {
  (['SIGINT', 'SIGTERM'] as const).forEach((signal) => {
    process.once(signal, () => {
      void stop().then(() => process.exit(0));
    });
  });
}
