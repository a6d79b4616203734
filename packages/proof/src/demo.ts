/** A demo of callers and a trainer on a deployment with fakes of the platform and the targets. */
import { request } from 'undici';

import { Cluster } from './cluster';
import { createExamplePlan } from './example';
import { TrainerClient } from './trainer-client';

const SEED = 1;

/** A step of the demo. */
interface DemoStep {
  readonly title: string;
  /** Returns the result to print; throws when the step fails. */
  readonly run: (cluster: Cluster) => Promise<string>;
}

/**
 * Runs the demo and prints the result of each step.
 *
 * @param options - whether to keep the deployment running until a signal arrives
 * @returns whether every step succeeded
 */
export async function runDemo(options: { serve: boolean }): Promise<boolean> {
  const cluster = await Cluster.start(createExamplePlan({ seed: SEED, plainTargets: 2 }));
  try {
    const failures = await runDemoSteps(cluster);
    print(
      failures === 0 ? 'All steps of the demo succeeded.' : `${failures} steps of the demo failed.`,
    );
    if (options.serve) await serveUntilInterrupted(cluster);
    return failures === 0;
  } finally {
    await cluster.stop();
  }
}

/** Returns the number of steps that failed. */
async function runDemoSteps(cluster: Cluster): Promise<number> {
  let failures = 0;
  for (const step of DEMO_STEPS) {
    try {
      print(`ok    ${step.title}: ${await step.run(cluster)}`);
    } catch (error) {
      failures += 1;
      print(`FAIL  ${step.title}: ${String(error)}`);
    }
  }
  return failures;
}

async function serveUntilInterrupted(cluster: Cluster): Promise<void> {
  print(`Entries: ${cluster.entryUrls.join(' ')}`);
  cluster.keys.forEach((key, team) => print(`Key of ${team}: ${key.token}`));
  print('Stop with Ctrl-C.');
  await new Promise<void>((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
}

const DEMO_STEPS: readonly DemoStep[] = [
  { title: 'a streamed response of a model', run: showStreamedGeneration },
  { title: 'a look-up at a plain service', run: showLotLookUp },
  { title: 'an order with an idempotency key, sent twice, runs once', run: showIdempotentOrder },
  { title: 'a public route without a key', run: showPublicRoute },
  { title: 'a refusal without a key', run: showRefusal },
  { title: 'a step of labelled samples', run: showTrainerStep },
];

async function showStreamedGeneration(cluster: Cluster): Promise<string> {
  const res = await request(`${entryUrl(cluster)}/s/tasting-models/generate`, {
    method: 'POST',
    headers: {
      authorization: cluster.createAuthorization('orchard'),
      'content-type': 'application/json',
    },
    body: JSON.stringify({ prompt: 'A washed rind with', maxTokens: 12 }),
  });
  const lines = (await res.body.text()).trim().split('\n');
  assertThat(res.statusCode === 200, `status ${res.statusCode}: ${lines.join(' ')}`);
  const last = JSON.parse(lines.at(-1) ?? '{}') as { done?: boolean; tokens?: number };
  assertThat(last.done === true && lines.length === 13, 'the response is incomplete');
  return `${last.tokens} tokens`;
}

async function showLotLookUp(cluster: Cluster): Promise<string> {
  const res = await request(`${entryUrl(cluster, 1)}/s/sales-desk/lots/41`, {
    headers: { authorization: cluster.createAuthorization('valley') },
  });
  const body = await res.body.text();
  assertThat(res.statusCode === 200, `status ${res.statusCode}: ${body}`);
  return body;
}

async function showIdempotentOrder(cluster: Cluster): Promise<string> {
  const bodies: string[] = [];
  for (let index = 0; index < 2; index += 1) {
    const res = await request(`${entryUrl(cluster, index)}/s/sales-desk/orders`, {
      method: 'POST',
      headers: {
        authorization: cluster.createAuthorization('harbour'),
        'content-type': 'application/json',
        'idempotency-key': 'order-7',
      },
      body: JSON.stringify({ lot: 41, count: 2 }),
    });
    bodies.push(await res.body.text());
    assertThat(res.statusCode === 200, `status ${res.statusCode}: ${bodies.at(-1)}`);
  }
  assertThat(bodies[0] === bodies[1], 'the repeated order got another response');
  return bodies[0] ?? '';
}

async function showPublicRoute(cluster: Cluster): Promise<string> {
  const res = await request(`${entryUrl(cluster)}/s/sales-desk/echo`);
  await res.body.dump();
  assertThat(res.statusCode === 200, `status ${res.statusCode}`);
  return `status ${res.statusCode}`;
}

async function showRefusal(cluster: Cluster): Promise<string> {
  const res = await request(`${entryUrl(cluster)}/s/sales-desk/lots/41`);
  const body = (await res.body.json()) as { code: number; run: string };
  assertThat(res.statusCode === 401 && body.run === 'not-run', JSON.stringify(body));
  return JSON.stringify(body);
}

async function showTrainerStep(cluster: Cluster): Promise<string> {
  const trainer = new TrainerClient(cluster, { trainer: 'rind-notes', team: 'orchard' });
  await trainer.publish(1);
  await trainer.createStep('step-1', [
    { id: 'brine', prompt: 'Describe the brine of lot 41.', count: 3, maxTokens: 16 },
    { id: 'rind', prompt: 'Describe the rind of lot 41.', count: 3, maxTokens: 16 },
  ]);
  const samples = await trainer.collect('step-1', 6);
  const versions = samples.flatMap((sample) => sample.segments.map((segment) => segment.version));
  return `${samples.length} samples from weight versions ${[...new Set(versions)].join(', ')}`;
}

function entryUrl(cluster: Cluster, index = 0): string {
  const urls = cluster.entryUrls;
  return urls[index % urls.length] ?? '';
}

function assertThat(condition: boolean, message: string): void {
  if (!condition) throw new Error(message);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
