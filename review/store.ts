/** The platform's store as the users' pages describe it: a log with topics of one partition each. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const BYTES_PER_KB = 1_024;
const MAX_WAIT_MS = 30_000;
// The limits of the settings that a case writes.
const MAX_RECORD_BYTES = 262_144;
const MAX_CALL_BYTES = 2_097_152;
const APPEND_MS = 2;

/** Keeps the records of all topics in memory. Nothing expires during a case. */
export class LogStore {
  readonly #topics = new Map<string, Buffer[]>();

  readonly #readers = new Set<() => void>();

  readonly #server = http.createServer((req, res) => {
    // A caller may close its channel in the middle of a call, which then isn't executed.
    void this.#serve(req, res).catch(() => res.destroy());
  });

  #address = '';

  get address(): string {
    return this.#address;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.#address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes the newest record of a key; without a value, the key is dropped. */
  writeKey(topic: string, key: string, value?: unknown): void {
    const name = Buffer.from(key);
    const text = value === undefined ? '' : JSON.stringify(value);
    this.#append(topic, [Buffer.concat([Buffer.from([name.length]), name, Buffer.from(text)])]);
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const parts: Buffer[] = [];
    for await (const part of req) parts.push(part as Buffer);
    const { pathname, searchParams: query } = new URL(req.url ?? '/', 'http://store');
    const topic = query.get('topic') ?? '';
    if (pathname === '/-/log-append') {
      await new Promise((resolve) => {
        setTimeout(resolve, APPEND_MS);
      });
      this.#serveAppend(topic, query.get('at'), Buffer.concat(parts), res);
    } else if (pathname === '/-/log-read') await this.#serveRead(topic, query, res);
    else if (pathname === '/-/log-newest') res.end(JSON.stringify(this.#listNewest(topic)));
    else res.writeHead(404).end();
  }

  #serveAppend(topic: string, at: string | null, body: Buffer, res: ServerResponse): void {
    const records = decodeRecords(body);
    const isTooLarge = records.some((record) => record.length > MAX_RECORD_BYTES);
    const end = this.#find(topic).length;
    if (isTooLarge || body.length > MAX_CALL_BYTES) res.writeHead(413).end();
    else if (at !== null && Number(at) !== end) res.writeHead(412).end(JSON.stringify({ end }));
    else {
      this.#append(topic, records);
      res.end(JSON.stringify({ offset: end, end: end + records.length }));
    }
  }

  async #serveRead(topic: string, query: URLSearchParams, res: ServerResponse): Promise<void> {
    const from = Number(query.get('from'));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('waitMs') ?? 0));
    if (this.#find(topic).length <= from && waitMs > 0) await this.#waitForRecord(waitMs);
    const records = this.#find(topic);
    let bytesLeft = Number(query.get('maxKb') ?? BYTES_PER_KB) * BYTES_PER_KB;
    const page = records.slice(from).filter((record, index) => {
      bytesLeft -= record.length + LENGTH_BYTES;
      return index === 0 || bytesLeft >= 0;
    });
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(records.length));
    res.end(Buffer.concat([head, ...page.flatMap(encodeRecord)]));
  }

  #waitForRecord(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.#readers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.#readers.add(wake);
    });
  }

  #listNewest(topic: string): unknown {
    const newest = new Map<string, unknown>();
    const records = this.#find(topic);
    records.forEach((record, offset) => {
      const valueAt = 1 + (record[0] ?? 0);
      const key = record.subarray(1, valueAt).toString();
      newest.delete(key);
      if (record.length === valueAt) return;
      newest.set(key, { key, value: record.subarray(valueAt).toString('base64'), offset });
    });
    return { items: [...newest.values()], hasMore: false, end: records.length };
  }

  #append(topic: string, records: readonly Buffer[]): void {
    this.#find(topic).push(...records);
    [...this.#readers].forEach((wake) => wake());
  }

  #find(topic: string): Buffer[] {
    const records = this.#topics.get(topic) ?? [];
    this.#topics.set(topic, records);
    return records;
  }
}

function encodeRecord(record: Buffer): Buffer[] {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length);
  return [length, record];
}

function decodeRecords(body: Buffer): Buffer[] {
  const records: Buffer[] = [];
  for (let position = 0; position < body.length;) {
    const start = position + LENGTH_BYTES;
    const end = start + body.readUInt32BE(position);
    records.push(body.subarray(start, end));
    position = end;
  }
  return records;
}
