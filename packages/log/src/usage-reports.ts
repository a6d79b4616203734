/** The interface that takes the usage of a window. */
import {
  type Failure,
  type FencingNumber,
  type ServiceId,
  type TeamId,
  createFailure,
} from '@hibiscushill/base';
import { type Result, ResultAsync, err, ok } from 'neverthrow';
import { z } from 'zod';

import { GuardedSender } from './guarded-sender';
import {
  type HttpAnswer,
  HttpClient,
  type HttpClientOptions,
  classifyRefusal,
  readAnswer,
} from './http-client';
import type { GuardOptions } from './target-orders';

const teamId = z.string() as unknown as z.ZodType<TeamId>;
const serviceId = z.string() as unknown as z.ZodType<ServiceId>;

const UsageFigure = z.object({
  team: teamId,
  service: serviceId,
  requests: z.number(),
  tokens: z.number(),
});

const WindowAnswer = z.object({
  reportId: z.string(),
  fencing: z.number(),
  figures: z.array(UsageFigure),
});

/** What a team used of a service in a window. */
export type UsageFigure = z.infer<typeof UsageFigure>;

/** What the platform has for a window. */
export type ReportedWindow = z.infer<typeof WindowAnswer>;

/** One report of a window's figures. */
export interface UsageReport {
  /** Names the report; every repeat brings the same id and figures. */
  readonly reportId: string;
  readonly fencing: FencingNumber;
  readonly figures: readonly UsageFigure[];
}

/** The client of the usage reports. */
export class UsageReports {
  readonly #client: HttpClient;

  readonly #sender: GuardedSender;

  /** @param options - the service's URL and the deadlines in milliseconds */
  constructor(options: HttpClientOptions) {
    this.#client = new HttpClient(options);
    this.#sender = new GuardedSender(options);
  }

  /**
   * Reports a window. `lease_short` means that nothing was written; `fencing_stale` that the
   * platform refuses these figures or this holder.
   *
   * @param window - the window's name
   * @param report - the figures
   * @param guard - the report's deadline and the check before it is written
   * @returns nothing when the platform has taken it
   */
  report(window: string, report: UsageReport, guard: GuardOptions): ResultAsync<void, Failure> {
    const path = windowPath(window);
    return this.#sender.send({ method: 'PUT', path, body: report, ...guard }).andThen(readReceipt);
  }

  /**
   * Reads what the platform has for a window.
   *
   * @param window - the window's name
   * @returns the report, or undefined when it has none
   */
  read(window: string): ResultAsync<ReportedWindow | undefined, Failure> {
    return this.#client
      .send({ method: 'GET', path: windowPath(window) })
      .andThen((answer): Result<ReportedWindow | undefined, Failure> =>
        answer.status === 404 ? ok(undefined) : readAnswer(answer, WindowAnswer),
      );
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await Promise.all([this.#client.close(), this.#sender.close()]);
  }
}

function windowPath(window: string): string {
  return `/v1/usage/windows/${encodeURIComponent(window)}`;
}

function readReceipt(answer: HttpAnswer): Result<void, Failure> {
  if (answer.status === 200) return ok(undefined);
  if (answer.status !== 409) return err(classifyRefusal(answer));
  const detail = Buffer.from(answer.body).toString('utf8');
  return err(createFailure('fencing_stale', { detail }));
}
