/** A stand-in of the platform's store: its log calls over topics in memory. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;
const BYTES_PER_KB = 1_024;
// The time that an answer of the store takes in the installations' sheets.
const ANSWER_MS = 4;

/** One call to the store. */
interface Call {
  readonly name: string;
  readonly topic: string;
  readonly query: URLSearchParams;
  readonly body: Buffer;
}

/** An answer of the store. */
interface Answer {
  readonly status: number;
  readonly body: Buffer;
}

/** Executes each call when it arrives, and answers after the time that an answer takes. */
export class Store {
  /** How many times as long as usual an answer takes. */
  slowness = 1;

  /** Called with each record that is appended. */
  onAppended: (topic: string, offset: number, content: Buffer) => void = () => undefined;

  readonly #topics = new Map<string, Buffer[]>();

  readonly #waiting = new Set<() => void>();

  readonly #server = http.createServer((req, res) => {
    this.#serve(req, res).catch(() => res.destroy());
  });

  /** Starts to listen at a free port of the loopback address. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** `IP:port`. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes the newest record of a key, as the operator and the replicas do. */
  putKeyed(topic: string, key: string, value: unknown): void {
    const name = Buffer.from(key);
    const content = Buffer.from(JSON.stringify(value));
    this.#append(topic, [Buffer.concat([Buffer.from([name.length]), name, content])]);
  }

  /** Removes a key. */
  removeKeyed(topic: string, key: string): void {
    const name = Buffer.from(key);
    this.#append(topic, [Buffer.concat([Buffer.from([name.length]), name])]);
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const parts: Buffer[] = [];
    for await (const part of req) parts.push(part as Buffer);
    const url = new URL(req.url ?? '/', 'http://store');
    const answer = await this.#execute({
      name: url.pathname,
      topic: url.searchParams.get('topic') ?? '',
      query: url.searchParams,
      body: Buffer.concat(parts),
    });
    await sleep(ANSWER_MS * this.slowness);
    res.writeHead(answer.status).end(answer.body);
  }

  async #execute(call: Call): Promise<Answer> {
    if (call.name === '/-/log-append') return this.#executeAppend(call);
    if (call.name === '/-/log-newest') return toAnswer(200, this.#listNewest(call.topic));
    if (call.name === '/-/log-read') return { status: 200, body: await this.#read(call) };
    return toAnswer(404, {});
  }

  #executeAppend({ topic, query, body }: Call): Answer {
    const end = this.#records(topic).length;
    const at = query.get('at');
    if (at !== null && Number(at) !== end) return toAnswer(412, { end });
    const offset = this.#append(topic, decodeFrames(body));
    return toAnswer(200, { offset, end: this.#records(topic).length });
  }

  async #read({ topic, query }: Call): Promise<Buffer> {
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('waitMs') ?? 0);
    if (this.#records(topic).length <= from && waitMs > 0)
      await this.#waitForRecord(topic, from, waitMs);
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    const records = this.#records(topic);
    head.writeBigUInt64BE(BigInt(records.length));
    let leftBytes = Number(query.get('maxKb') ?? BYTES_PER_KB) * BYTES_PER_KB;
    const page: Buffer[] = [];
    for (const record of records.slice(from)) {
      leftBytes -= record.length + LENGTH_BYTES;
      if (page.length > 0 && leftBytes < 0) break;
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length);
      page.push(length, record);
    }
    return Buffer.concat([head, ...page]);
  }

  async #waitForRecord(topic: string, from: number, waitMs: number): Promise<void> {
    const endsAt = Date.now() + waitMs;
    while (this.#records(topic).length <= from && Date.now() < endsAt) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(wake, Math.max(0, endsAt - Date.now()));
        const waiting = this.#waiting;
        function wake(): void {
          clearTimeout(timer);
          waiting.delete(wake);
          resolve();
        }
        waiting.add(wake);
      });
    }
  }

  #listNewest(topic: string): unknown {
    const newest = new Map<string, { key: string; value: string; offset: number }>();
    this.#records(topic).forEach((record, offset) => {
      const keyEnd = 1 + (record[0] ?? 0);
      const key = record.subarray(1, keyEnd).toString();
      if (record.length === keyEnd) newest.delete(key);
      else newest.set(key, { key, value: record.subarray(keyEnd).toString('base64'), offset });
    });
    return { items: [...newest.values()], hasMore: false, end: this.#records(topic).length };
  }

  #append(topic: string, records: readonly Buffer[]): number {
    const all = this.#records(topic);
    const offset = all.length;
    all.push(...records);
    records.forEach((content, index) => this.onAppended(topic, offset + index, content));
    [...this.#waiting].forEach((wake) => wake());
    return offset;
  }

  #records(topic: string): Buffer[] {
    const known = this.#topics.get(topic) ?? [];
    this.#topics.set(topic, known);
    return known;
  }
}

function toAnswer(status: number, body: unknown): Answer {
  return { status, body: Buffer.from(JSON.stringify(body)) };
}

function decodeFrames(body: Buffer): Buffer[] {
  const records: Buffer[] = [];
  let position = 0;
  while (position < body.length) {
    const start = position + LENGTH_BYTES;
    position = start + body.readUInt32BE(position);
    records.push(body.subarray(start, position));
  }
  return records;
}
