/** A client of a log service over HTTP. */
import {
  type Failure,
  type Millis,
  type Offset,
  type RecordId,
  type WallTime,
  createFailure,
} from '@hibiscushill/base';
import { type Result, ResultAsync, err } from 'neverthrow';
import { z } from 'zod';

import {
  type HttpResponse,
  HttpClient,
  type HttpClientOptions,
  readJsonResponse,
} from './http-transport';
import {
  type AppendOptions,
  Log,
  type LogPage,
  type NewRecord,
  type ReadOptions,
  type StreamBounds,
  type StreamName,
} from './log';

const DEFAULT_READ_TIMEOUT_MS = 2_000;
const BOUNDS_TIMEOUT_MS = 15_000;
const DEFAULT_PAGE_LIMIT = 500;

const offset = z.number().int().min(0) as unknown as z.ZodType<Offset>;
const recordId = z.string() as unknown as z.ZodType<RecordId>;
const wallTime = z.number() as unknown as z.ZodType<WallTime>;

const AppendResponse = z.object({ offset });
const BoundsResponse = z.object({ first: offset, next: offset });
const PageResponse = z.object({
  records: z.array(
    z.object({
      offset,
      id: recordId,
      kind: z.string(),
      payload: z.unknown().default(null),
      appendedAt: wallTime,
    }),
  ),
  next: offset,
});

/** Where the log service is, and the deadlines of its calls. */
export interface HttpLogOptions extends HttpClientOptions {
  /** How long a read may take in addition to its `waitMs`, in milliseconds. */
  readonly readTimeoutMs?: Millis;
}

/** The log that a log service serves over HTTP. */
export class HttpLog extends Log {
  readonly #client: HttpClient;

  readonly #readTimeoutMs: Millis;

  /** @param options - the service's URL and the deadlines in milliseconds */
  constructor(options: HttpLogOptions) {
    super();
    this.#client = new HttpClient(options);
    this.#readTimeoutMs = options.readTimeoutMs ?? DEFAULT_READ_TIMEOUT_MS;
  }

  override append(
    stream: StreamName,
    records: readonly NewRecord[],
    options: AppendOptions = {},
  ): ResultAsync<Offset, Failure> {
    const req = {
      method: 'POST',
      path: `${formatStreamPath(stream)}/records`,
      body: { records },
      ...options,
    } as const;
    return this.#client
      .send(req)
      .andThen((res) => readJsonResponse(res, AppendResponse))
      .map((body) => body.offset);
  }

  override read(
    stream: StreamName,
    from: Offset,
    options: ReadOptions = {},
  ): ResultAsync<LogPage, Failure> {
    const { limit = DEFAULT_PAGE_LIMIT, waitMs = 0, signal } = options;
    const timeoutMs = waitMs + (options.timeoutMs ?? this.#readTimeoutMs);
    const path = `${formatStreamPath(stream)}/records?from=${from}&limit=${limit}&waitMs=${waitMs}`;
    return this.#client
      .send({ method: 'GET', path, timeoutMs, ...(signal && { signal }) })
      .andThen(readPage);
  }

  override bounds(stream: StreamName): ResultAsync<StreamBounds, Failure> {
    return this.#client
      .send({ method: 'GET', path: formatStreamPath(stream), timeoutMs: BOUNDS_TIMEOUT_MS })
      .andThen((res) => readJsonResponse(res, BoundsResponse));
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#client.close();
  }
}

function formatStreamPath(stream: StreamName): string {
  return `/v1/streams/${encodeURIComponent(stream)}`;
}

function readPage(res: HttpResponse): Result<LogPage, Failure> {
  if (res.status !== 410) return readJsonResponse(res, PageResponse);
  return err(createFailure('offset_trimmed', { detail: Buffer.from(res.body).toString('utf8') }));
}
