/** A stand-in for the platform's store: topics of one partition. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const BYTES_PER_KB = 1_024;
const MS_PER_SECOND = 1_000;
const BYTES_PER_MB = 1_000_000;
const DEFAULT_PAGE_KB = 1_024;
const KEYED_PREFIX = 'keyed.';
const JSON_HEADERS = { 'Content-Type': 'application/json' };

/** The limits of the store, named as in the settings. */
export interface StoreLimits {
  readonly retentionS: number;
  /** How much a partition holds, in megabytes. */
  readonly partMb: number;
  readonly recordBytes: number;
  readonly callBytes: number;
}

interface StoredRecord {
  readonly bytes: Buffer;
  readonly at: number;
}

/** One topic: its records from offset `first` on. */
class Topic {
  first = 0;

  readonly records: StoredRecord[] = [];

  bytes = 0;

  readonly waiting = new Set<() => void>();

  get end(): number {
    return this.first + this.records.length;
  }
}

/** Reads the whole body of a message. */
export async function readBody(message: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of message) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

/** Listens at a port of the loopback address, by default a free one; returns `IP:port`. */
export function listen(server: http.Server, port = 0): Promise<string> {
  return new Promise((resolve) => {
    server.listen(port, '127.0.0.1', () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}

/** The store. Records of plain topics expire; those of keyed topics are all kept. */
export class Store {
  readonly limits: StoreLimits;

  address = '';

  /** While it is down, it resets the channel of each call. */
  isDown = false;

  readonly #topics = new Map<string, Topic>();

  readonly #appendedBytes = new Map<string, number>();

  readonly #server = http.createServer((req, res) => {
    this.#handle(req, res).catch(() => res.destroy());
  });

  constructor(limits: StoreLimits) {
    this.limits = limits;
  }

  async start(): Promise<void> {
    this.address = await listen(this.#server);
  }

  /** How much was ever appended to a topic, in bytes. */
  countAppended(name: string): number {
    return this.#appendedBytes.get(name) ?? 0;
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes the newest record of a key, as operators and replicas do; no value removes the key. */
  writeKey(topic: string, key: string, value?: unknown): void {
    const name = Buffer.from(key);
    const body = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.#append(topic, [Buffer.concat([Buffer.from([name.length]), name, body])]);
  }

  #append(name: string, frames: readonly Buffer[]): { offset: number; end: number } {
    const topic = this.#open(name);
    const offset = topic.end;
    const bytesSoFar = this.countAppended(name);
    const addedBytes = frames.reduce((sum, { length }) => sum + length, 0);
    this.#appendedBytes.set(name, bytesSoFar + addedBytes);
    const at = Date.now();
    frames.forEach((bytes) => {
      topic.records.push({ bytes, at });
      topic.bytes += bytes.length;
    });
    [...topic.waiting].forEach((wake) => wake());
    return { offset, end: topic.end };
  }

  /** Finds a topic, and drops its expired records. */
  #open(name: string): Topic {
    const topic = this.#topics.get(name) ?? new Topic();
    this.#topics.set(name, topic);
    if (name.startsWith(KEYED_PREFIX)) return topic;
    const oldest = Date.now() - this.limits.retentionS * MS_PER_SECOND;
    const maxBytes = this.limits.partMb * BYTES_PER_MB;
    const isExpired = ({ at }: StoredRecord): boolean => at < oldest || topic.bytes > maxBytes;
    let expired = 0;
    for (const record of topic.records) {
      if (!isExpired(record)) break;
      topic.bytes -= record.bytes.length;
      expired += 1;
    }
    topic.records.splice(0, expired);
    topic.first += expired;
    return topic;
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    const body = await readBody(req);
    if (this.isDown) {
      req.socket.resetAndDestroy();
      return;
    }
    const name = url.searchParams.get('topic') ?? '';
    if (url.pathname === '/-/log-append') this.#serveAppend(name, url.searchParams, body, res);
    else if (url.pathname === '/-/log-read') await this.#serveRead(name, url.searchParams, res);
    else if (url.pathname === '/-/log-newest') this.#serveNewest(name, res);
    else res.writeHead(404).end();
  }

  #serveAppend(name: string, query: URLSearchParams, body: Buffer, res: ServerResponse): void {
    const frames = splitFrames(body);
    const { recordBytes, callBytes } = this.limits;
    const bytes = frames.reduce((sum, frame) => sum + frame.length, 0);
    if (bytes > callBytes || frames.some((frame) => frame.length > recordBytes)) {
      res.writeHead(400).end();
      return;
    }
    const { end } = this.#open(name);
    if (query.has('at') && Number(query.get('at')) !== end) {
      res.writeHead(412, JSON_HEADERS).end(JSON.stringify({ end }));
      return;
    }
    res.writeHead(200, JSON_HEADERS).end(JSON.stringify(this.#append(name, frames)));
  }

  async #serveRead(name: string, query: URLSearchParams, res: ServerResponse): Promise<void> {
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('waitMs') ?? 0);
    if (this.#open(name).end <= from && waitMs > 0) await this.#waitForRecord(name, waitMs, res);
    const topic = this.#open(name);
    if (from < topic.first) {
      res.writeHead(410, JSON_HEADERS).end(JSON.stringify({ first: topic.first }));
      return;
    }
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(topic.end));
    head.writeBigUInt64BE(BigInt(topic.first), OFFSET_BYTES);
    const maxBytes = Number(query.get('maxKb') ?? DEFAULT_PAGE_KB) * BYTES_PER_KB;
    const page = pickPage(topic.records.slice(from - topic.first), maxBytes);
    res.end(Buffer.concat([head, ...page.flatMap(encodeFrame)]));
  }

  #waitForRecord(name: string, waitMs: number, res: ServerResponse): Promise<void> {
    const { waiting } = this.#open(name);
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      waiting.add(wake);
      res.once('close', wake);
    });
  }

  #serveNewest(name: string, res: ServerResponse): void {
    const topic = this.#open(name);
    const newest = new Map<string, { key: string; value: string; offset: number }>();
    topic.records.forEach(({ bytes }, index) => {
      const end = 1 + (bytes[0] ?? 0);
      const key = bytes.subarray(1, end).toString();
      const value = bytes.subarray(end).toString('base64');
      if (value) newest.set(key, { key, value, offset: topic.first + index });
      else newest.delete(key);
    });
    const page = { items: [...newest.values()], hasMore: false, end: topic.end };
    res.writeHead(200, JSON_HEADERS).end(JSON.stringify(page));
  }
}

/** Picks the first records that fit into a page, and at least one. */
function pickPage(records: readonly StoredRecord[], maxBytes: number): Buffer[] {
  let bytes = 0;
  const end = records.findIndex((record) => {
    bytes += record.bytes.length + LENGTH_BYTES;
    return bytes > maxBytes;
  });
  return records.slice(0, end < 0 ? records.length : Math.max(1, end)).map((one) => one.bytes);
}

function encodeFrame(bytes: Buffer): Buffer[] {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(bytes.length);
  return [length, bytes];
}

function splitFrames(body: Buffer): Buffer[] {
  const frames: Buffer[] = [];
  for (let position = 0; position < body.length;) {
    const start = position + LENGTH_BYTES;
    const end = start + body.readUInt32BE(position);
    frames.push(body.subarray(start, end));
    position = end;
  }
  return frames;
}
