/** The log over HTTP. */
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

import { type HttpAnswer, HttpClient, type HttpClientOptions, readAnswer } from './http-client';
import {
  type AppendOptions,
  Log,
  type LogPage,
  type NewRecord,
  type ReadOptions,
  type StreamBounds,
  type StreamName,
} from './log';

const READ_TIMEOUT_MS = 2_000;
const BOUNDS_TIMEOUT_MS = 15_000;
const PAGE_LIMIT = 500;

const offset = z.number().int().min(0) as unknown as z.ZodType<Offset>;
const recordId = z.string() as unknown as z.ZodType<RecordId>;
const wallTime = z.number() as unknown as z.ZodType<WallTime>;

const AppendAnswer = z.object({ offset });
const BoundsAnswer = z.object({ first: offset, next: offset });
const PageAnswer = z.object({
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

/** Options of the log's client. */
export interface HttpLogOptions extends HttpClientOptions {
  /** How long a read may take beyond its wait, in milliseconds. */
  readonly readTimeoutMs?: Millis;
}

/** The platform's log service. */
export class HttpLog extends Log {
  readonly #client: HttpClient;

  readonly #readTimeoutMs: Millis;

  /** @param options - the service's URL and the deadlines in milliseconds */
  constructor(options: HttpLogOptions) {
    super();
    this.#client = new HttpClient(options);
    this.#readTimeoutMs = options.readTimeoutMs ?? READ_TIMEOUT_MS;
  }

  override append(
    stream: StreamName,
    records: readonly NewRecord[],
    options: AppendOptions = {},
  ): ResultAsync<Offset, Failure> {
    const call = {
      method: 'POST',
      path: `${streamPath(stream)}/records`,
      body: { records },
      ...options,
    } as const;
    return this.#client
      .send(call)
      .andThen((answer) => readAnswer(answer, AppendAnswer))
      .map((answer) => answer.offset);
  }

  override read(
    stream: StreamName,
    from: Offset,
    options: ReadOptions = {},
  ): ResultAsync<LogPage, Failure> {
    const { limit = PAGE_LIMIT, waitMs = 0, signal } = options;
    const timeoutMs = waitMs + (options.timeoutMs ?? this.#readTimeoutMs);
    const path = `${streamPath(stream)}/records?from=${from}&limit=${limit}&waitMs=${waitMs}`;
    return this.#client
      .send({ method: 'GET', path, timeoutMs, ...(signal && { signal }) })
      .andThen(readPage);
  }

  override bounds(stream: StreamName): ResultAsync<StreamBounds, Failure> {
    return this.#client
      .send({ method: 'GET', path: streamPath(stream), timeoutMs: BOUNDS_TIMEOUT_MS })
      .andThen((answer) => readAnswer(answer, BoundsAnswer));
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#client.close();
  }
}

function streamPath(stream: StreamName): string {
  return `/v1/streams/${encodeURIComponent(stream)}`;
}

function readPage(answer: HttpAnswer): Result<LogPage, Failure> {
  if (answer.status !== 410) return readAnswer(answer, PageAnswer);
  return err(
    createFailure('offset_trimmed', { detail: Buffer.from(answer.body).toString('utf8') }),
  );
}
