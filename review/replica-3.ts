/** A stand-in for a replica: streams of numbered events, or plain answers, from some slots. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { listen, readBody } from './store-3';

/** What a replica is and how it works. */
export interface ReplicaOptions {
  readonly id: string;
  readonly slots: number;
  /** The names of its models; none for a plain service. */
  readonly models: readonly string[];
  /** How many events, or lines, an answer has. */
  readonly events: number;
  /** How long each of them takes, in milliseconds. */
  readonly eventMs: number;
  /** Whether its answers have no length and end with their channel. */
  readonly isUnframed?: boolean;
}

/** One request that a replica works on. */
export interface Run {
  readonly id: string;
  /** The number of the last event that the caller has; 0 without one. */
  readonly last: number;
  readonly isStream: boolean;
  readonly version: number;
  readonly res: ServerResponse;
}

/** A replica. It knows nothing of the store; whoever starts it registers it. */
export class Replica {
  readonly options: ReplicaOptions;

  address = '';

  /** How many times as long its work takes. */
  slowdown = 1;

  /** The weight version of each of its models. */
  readonly versions = new Map<string, number>();

  /** Takes a line on each run and order. */
  record: (line: string) => void = () => undefined;

  /** Answers a run; the cases may replace it. */
  answer: (run: Run) => Promise<void> = (run) => this.sendWhole(run);

  #running = 0;

  #orders = 0;

  readonly #server = http.createServer((req, res) => {
    this.#handle(req, res).catch(() => res.destroy());
  });

  constructor(options: ReplicaOptions) {
    this.options = options;
    options.models.forEach((model) => this.versions.set(model, 1));
  }

  async start(): Promise<void> {
    this.address = await listen(this.#server);
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Sends all events after the last that the caller has. */
  async sendWhole(run: Run): Promise<void> {
    const { events, eventMs } = this.options;
    this.writeHead(run);
    for (let number = run.last + 1; number <= events; number += 1) {
      await sleep(eventMs * this.slowdown);
      if (run.res.destroyed) return;
      run.res.write(createPart(run, number));
    }
    run.res.end();
  }

  writeHead({ id, isStream, version, res }: Run): void {
    if (this.options.isUnframed) {
      Object.assign(res, { useChunkedEncodingByDefault: false, shouldKeepAlive: false });
      res.setHeader('Connection', 'close');
    }
    if (isStream) res.setHeader('Weight-Versions', `${version}`);
    res.writeHead(200, {
      'Content-Type': isStream ? 'text/event-stream' : 'text/plain',
      'Response-Stamp': `${this.options.id}.${id}`,
    });
    res.flushHeaders();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req);
    if (req.url === '/-/report') this.#report(res);
    else if (req.url === '/-/order') this.#takeOrder(body, res);
    else await this.#serve(req, res);
  }

  #report(res: ServerResponse): void {
    const models = [...this.versions].map(([name, version]) => ({ name, version, adapters: [] }));
    const report = { stage: 'both', models, busy: false, seq: this.#orders };
    res.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(report));
  }

  #takeOrder(body: Buffer, res: ServerResponse): void {
    const order = JSON.parse(body.toString()) as {
      model: string;
      version: number;
      expected?: number;
    };
    if (order.expected !== undefined && order.expected !== this.#orders) {
      res.writeHead(409).end();
      return;
    }
    this.#orders += 1;
    this.versions.set(order.model, order.version);
    this.record(`${this.options.id} takes version ${order.version} of ${order.model}`);
    res.writeHead(202).end();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const id = String(req.headers['attempt-id']);
    const version = this.versions.get(String(req.headers.model)) ?? 1;
    const expected = req.headers['expect-version'];
    res.setHeader('Attempt-Id', id);
    if (req.headers['expect-instance'] !== this.options.id) {
      res.writeHead(421, { 'Instance-Id': this.options.id, 'Not-Run': '1' }).end();
    } else if (expected !== undefined && Number(expected) !== version) {
      res.writeHead(421, { 'Weight-Versions': `${version}`, 'Not-Run': '1' }).end();
    } else if (this.#running >= this.options.slots) {
      res.writeHead(503, { 'Not-Run': '1' }).end();
    } else {
      const last = Number(req.headers['last-event-id'] ?? 0);
      const isStream = !(req.url ?? '').startsWith('/lohu930/');
      await this.#run({ id, last, isStream, version, res });
    }
  }

  async #run(run: Run): Promise<void> {
    this.#running += 1;
    this.record(`${this.options.id} runs ${run.id} after event ${run.last}`);
    try {
      await this.answer(run);
    } finally {
      this.#running -= 1;
    }
  }
}

/** Creates the data of an event. */
export function createData(id: string, number: number): string {
  return `${id}.${number}`;
}

/** Creates an event, or a line of a plain answer. */
export function createPart({ id, isStream }: Pick<Run, 'id' | 'isStream'>, number: number): string {
  const data = createData(id, number);
  return isStream ? `id: ${number}\ndata: ${data}\n\n` : `${data}\n`;
}
