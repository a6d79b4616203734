/** The main job on embedded stand-ins, from a caller's and a trainer's side. */
import { request } from 'undici';

import { Cluster } from './cluster';
import { createExamplePlan } from './example';
import { TrainerClient } from './trainer-client';

const SEED = 1;

/** One thing that the demo shows. */
interface Step {
  readonly what: string;
  readonly run: (cluster: Cluster) => Promise<string>;
}

/**
 * Runs the demo.
 *
 * @param options - whether to stay up afterwards
 * @returns whether everything went well
 */
export async function runDemo(options: { serve: boolean }): Promise<boolean> {
  const cluster = await Cluster.start(createExamplePlan({ seed: SEED, plains: 2 }));
  try {
    const failures = await runSteps(cluster);
    print(failures === 0 ? 'The demo went well.' : `${failures} steps of the demo failed.`);
    if (options.serve) await serve(cluster);
    return failures === 0;
  } finally {
    await cluster.stop();
  }
}

async function runSteps(cluster: Cluster): Promise<number> {
  let failures = 0;
  for (const step of STEPS) {
    try {
      print(`ok    ${step.what}: ${await step.run(cluster)}`);
    } catch (error) {
      failures += 1;
      print(`FAIL  ${step.what}: ${String(error)}`);
    }
  }
  return failures;
}

async function serve(cluster: Cluster): Promise<void> {
  print(`Entries: ${cluster.entryUrls.join(' ')}`);
  cluster.keys.forEach((key, team) => print(`Key of ${team}: ${key.token}`));
  print('Stop with Ctrl-C.');
  await new Promise<void>((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
}

const STEPS: readonly Step[] = [
  { what: 'a streamed answer of a model', run: showGenerate },
  { what: 'a look-up at a plain service', run: showLookUp },
  { what: 'an order that runs once', run: showOrder },
  { what: 'a public route without a key', run: showPublic },
  { what: 'a refusal without a key', run: showRefusal },
  { what: 'a step of labelled samples', run: showStep },
];

async function showGenerate(cluster: Cluster): Promise<string> {
  const res = await request(`${entryUrl(cluster)}/s/tasting-models/generate`, {
    method: 'POST',
    headers: {
      authorization: cluster.authorization('orchard'),
      'content-type': 'application/json',
    },
    body: JSON.stringify({ prompt: 'A washed rind with', maxTokens: 12 }),
  });
  const lines = (await res.body.text()).trim().split('\n');
  expectThat(res.statusCode === 200, `status ${res.statusCode}: ${lines.join(' ')}`);
  const last = JSON.parse(lines.at(-1) ?? '{}') as { done?: boolean; tokens?: number };
  expectThat(last.done === true && lines.length === 13, 'the answer is not whole');
  return `${last.tokens} tokens`;
}

async function showLookUp(cluster: Cluster): Promise<string> {
  const res = await request(`${entryUrl(cluster, 1)}/s/sales-desk/lots/41`, {
    headers: { authorization: cluster.authorization('valley') },
  });
  const body = await res.body.text();
  expectThat(res.statusCode === 200, `status ${res.statusCode}: ${body}`);
  return body;
}

async function showOrder(cluster: Cluster): Promise<string> {
  const bodies: string[] = [];
  for (let index = 0; index < 2; index += 1) {
    const res = await request(`${entryUrl(cluster, index)}/s/sales-desk/orders`, {
      method: 'POST',
      headers: {
        authorization: cluster.authorization('harbour'),
        'content-type': 'application/json',
        'idempotency-key': 'order-7',
      },
      body: JSON.stringify({ lot: 41, count: 2 }),
    });
    bodies.push(await res.body.text());
    expectThat(res.statusCode === 200, `status ${res.statusCode}: ${bodies.at(-1)}`);
  }
  expectThat(bodies[0] === bodies[1], 'the repeated order was answered otherwise');
  return bodies[0] ?? '';
}

async function showPublic(cluster: Cluster): Promise<string> {
  const res = await request(`${entryUrl(cluster)}/s/sales-desk/echo`);
  await res.body.dump();
  expectThat(res.statusCode === 200, `status ${res.statusCode}`);
  return `status ${res.statusCode}`;
}

async function showRefusal(cluster: Cluster): Promise<string> {
  const res = await request(`${entryUrl(cluster)}/s/sales-desk/lots/41`);
  const body = (await res.body.json()) as { code: number; run: string };
  expectThat(res.statusCode === 401 && body.run === 'not-run', JSON.stringify(body));
  return JSON.stringify(body);
}

async function showStep(cluster: Cluster): Promise<string> {
  const trainer = new TrainerClient(cluster, { trainer: 'rind-notes', team: 'orchard' });
  await trainer.publish(1);
  await trainer.createStep('step-1', [
    { id: 'brine', prompt: 'Describe the brine of lot 41.', count: 3, maxTokens: 16 },
    { id: 'rind', prompt: 'Describe the rind of lot 41.', count: 3, maxTokens: 16 },
  ]);
  const samples = await trainer.collect('step-1', 6);
  const versions = samples.flatMap((sample) => sample.segments.map((part) => part.version));
  return `${samples.length} samples from weight versions ${[...new Set(versions)].join(', ')}`;
}

function entryUrl(cluster: Cluster, index = 0): string {
  const urls = cluster.entryUrls;
  return urls[index % urls.length] ?? '';
}

function expectThat(holds: boolean, message: string): void {
  if (!holds) throw new Error(message);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
