/** A replica as the users' pages describe it: a plain service or a model engine. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { CaseRecord } from './record';

const LOAD_MS = 900;
const QUEUE = 24;
const DEFAULT_EVENTS = 26;
const DEFAULT_EVENT_MS = 40;

/** What a replica serves and how fast. */
export interface ReplicaOptions {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  /** The model that it serves; undefined for a plain service. */
  readonly model?: string;
  /** The number of events of a request's stream, and the time between two of them. */
  readonly countEvents?: (id: string) => number;
  readonly eventMs?: number;
  /** Whether the runs of a request fail, and how long each takes to fail. */
  readonly isFailing?: (id: string) => boolean;
  readonly failMs?: number;
  /** How long a request to a plain service takes. */
  readonly workMs?: number;
}

/** One run of a request, as the replica saw it. */
export interface Run {
  readonly id: string;
  readonly replica: string;
  readonly path: string;
  readonly arrivedAt: number;
  readonly resumedAfter: number;
  endedAt: number | undefined;
  /** Whether the response was sent to its end. */
  isComplete: boolean;
  /** Whether it was answered with 500. */
  hasFailed: boolean;
}

/** Serves requests one after the other on each channel, `slots` of them at once. */
export class Replica {
  readonly options: ReplicaOptions;

  readonly runs: Run[] = [];

  readonly born = Date.now();

  version = 1;

  /** Whether the answer to the next report comes a second time, late: before the next answer. */
  repeatsReport = false;

  /** How many answers it has sent a second time. */
  extraAnswers = 0;

  /** How many answers it has sent. */
  answers = 0;

  /** Answers that come a second time, by the channel on which they were sent. */
  readonly #pendingExtras = new Map<Socket, string>();

  readonly #record: CaseRecord;

  readonly #sockets = new Set<Socket>();

  readonly #server = http.createServer((req, res) => {
    void this.#serve(req, res);
  });

  #running = 0;

  #waiting: (() => void)[] = [];

  #orders = 0;

  #isBusy = false;

  #address = '';

  constructor(options: ReplicaOptions, record: CaseRecord) {
    this.options = options;
    this.#record = record;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    this.#server.keepAliveTimeout = 20_000;
  }

  get address(): string {
    return this.#address;
  }

  get running(): number {
    return this.#running;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.#address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Ends all channels with a reset and accepts no further ones, as a crash does. */
  crash(): void {
    this.#record.add(this.options.id, 'crashes');
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** The entry in the list of replicas. */
  createEntry(seq: number): unknown {
    const { service, slots, model } = this.options;
    return {
      service,
      address: this.address,
      zone: 'ba',
      version: 'v1',
      slots,
      state: 'ready',
      coldLeftMs: 0,
      seq,
      born: this.born,
      ...(model !== undefined && {
        stage: 'both',
        models: [{ name: model, version: this.version }],
      }),
    };
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const parts: Buffer[] = [];
    try {
      for await (const part of req) parts.push(part as Buffer);
    } catch {
      // The caller has closed its channel in the middle of its request.
      return;
    }
    const body = Buffer.concat(parts).toString();
    const { id } = this.options;
    this.answers += 1;
    this.#sendExtraAnswer(req.socket);
    const expected = req.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      res.writeHead(421, { 'Instance-Id': id }).end();
      return;
    }
    if (req.url === '/-/report') this.#sendReport(req.socket, res);
    else if (req.url === '/-/order') this.#takeOrder(body, res);
    else await this.#serveRequest(req, res);
  }

  #sendReport(socket: Socket, res: ServerResponse): void {
    const body = JSON.stringify({
      stage: 'both',
      models: [{ name: this.options.model, version: this.version, adapters: [] }],
      busy: this.#isBusy,
      seq: this.#orders,
      numWaiting: this.#waiting.length,
      numRunning: this.#running,
      kvUsed: 0,
      kvTotal: 100_000,
      handles: 0,
    });
    const length = Buffer.byteLength(body);
    res.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': length });
    res.end(body);
    if (!this.repeatsReport) return;
    this.repeatsReport = false;
    const head = ['HTTP/1.1 200 OK', 'Content-Type: application/json', `Content-Length: ${length}`];
    this.#pendingExtras.set(socket, `${head.join('\r\n')}\r\n\r\n${body}`);
  }

  #sendExtraAnswer(socket: Socket): void {
    const extra = this.#pendingExtras.get(socket);
    if (extra === undefined) return;
    this.#pendingExtras.delete(socket);
    this.extraAnswers += 1;
    this.#record.add(
      this.options.id,
      `sends its answer to a report a second time: ${extra.slice(-160)}`,
    );
    socket.write(extra);
  }

  #takeOrder(body: string, res: ServerResponse): void {
    const order = JSON.parse(body) as {
      model: string;
      version: number;
      mode: string;
      expected?: number;
      holder: string;
      fence: number;
    };
    const { id, model } = this.options;
    const { version, mode, expected, holder, fence } = order;
    this.#record.add(id, `order: version ${version}, ${mode}, by ${holder} with fence ${fence}`);
    if (this.#isBusy || (expected !== undefined && expected !== this.#orders)) {
      res.writeHead(409).end();
      return;
    }
    if (order.model !== model || version <= this.version) {
      res.writeHead(order.model === model ? 200 : 400).end();
      return;
    }
    this.#orders += 1;
    this.#isBusy = true;
    res.writeHead(202).end();
    void this.#load(version, mode);
  }

  async #load(version: number, mode: string): Promise<void> {
    while (mode === 'wait' && this.#running > 0) await sleep(10);
    await sleep(LOAD_MS);
    this.version = version;
    this.#isBusy = false;
    this.#record.add(this.options.id, `serves version ${version}`);
  }

  async #serveRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { slots, id, model } = this.options;
    const requestId = String(req.headers['attempt-id']);
    const arrivedAt = this.#record.elapsedMs;
    res.setHeader('Attempt-Id', requestId);
    const expectedVersion = req.headers['expect-version'];
    if (expectedVersion !== undefined && Number(expectedVersion) !== this.version) {
      res.writeHead(421, { 'Instance-Id': id }).end();
      return;
    }
    if ((model !== undefined && this.#isBusy) || this.#waiting.length >= QUEUE) {
      res.writeHead(503, { 'Not-Run': '1' }).end();
      return;
    }
    if (this.#running >= slots) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    if (res.destroyed) {
      this.#waiting.shift()?.();
      return;
    }
    this.#running += 1;
    await this.#run(requestId, arrivedAt, req, res);
    this.#running -= 1;
    this.#waiting.shift()?.();
  }

  async #run(
    id: string,
    arrivedAt: number,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const { options } = this;
    const resumedAfter = Number(req.headers['last-event-id'] ?? 0);
    const run: Run = {
      id,
      replica: options.id,
      path: req.url ?? '',
      arrivedAt,
      resumedAfter,
      endedAt: undefined,
      isComplete: false,
      hasFailed: false,
    };
    this.runs.push(run);
    const details = `tenant ${String(req.headers.tenant)}, ${String(req.headers['deadline-ms'])} ms left`;
    this.#record.add(options.id, `runs ${id} after event ${resumedAfter} (${details})`);
    res.setHeader('Response-Stamp', `stamp.${options.id}.${id}`);
    res.setHeader('Server-Load', `${this.#running},${this.#waiting.length},${options.slots}`);
    const deadlineAt = Date.now() + Number(req.headers['deadline-ms'] ?? Infinity);
    if (options.isFailing?.(id)) {
      await sleep(options.failMs ?? 0);
      if (!res.destroyed) res.writeHead(500).end();
      run.hasFailed = !res.destroyed;
    } else if (options.model === undefined) {
      await sleep(options.workMs ?? 20);
      if (!res.destroyed) res.end(`answer to ${id}`);
    } else await this.#stream(id, resumedAfter, res, deadlineAt);
    run.endedAt = this.#record.elapsedMs;
    run.isComplete = !res.destroyed && !run.hasFailed;
    const outcome = run.isComplete ? 'completed' : 'dropped';
    this.#record.add(options.id, run.hasFailed ? `answers ${id} with 500` : `${outcome} ${id}`);
  }

  async #stream(id: string, after: number, res: ServerResponse, deadlineAt: number): Promise<void> {
    const { countEvents, eventMs = DEFAULT_EVENT_MS } = this.options;
    const events = countEvents?.(id) ?? DEFAULT_EVENTS;
    res.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Weight-Versions': `${this.version}`,
    });
    for (let number = after + 1; number <= events; number += 1) {
      // The requests of a batch get their tokens in the same step.
      await sleep(eventMs - (Date.now() % eventMs));
      if (res.destroyed) return;
      if (Date.now() > deadlineAt) {
        res.destroy();
        return;
      }
      res.write(`id: ${number}\ndata: ${id}.${number}\n\n`);
    }
    res.end();
  }
}
