/** A client of the platform's usage reports, one for each usage window. */
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
  type HttpResponse,
  HttpClient,
  type HttpClientOptions,
  createStatusFailure,
  readJsonResponse,
} from './http-transport';
import type { GuardOptions } from './target-orders';

const teamId = z.string() as unknown as z.ZodType<TeamId>;
const serviceId = z.string() as unknown as z.ZodType<ServiceId>;

const UsageFigure = z.object({
  team: teamId,
  service: serviceId,
  requests: z.number(),
  tokens: z.number(),
});

const WindowResponse = z.object({
  reportId: z.string(),
  fencing: z.number(),
  figures: z.array(UsageFigure),
});

/** The requests and tokens that a team used of a service in a window. */
export type UsageFigure = z.infer<typeof UsageFigure>;

/** The report that the platform has stored for a window. */
export type ReportedWindow = z.infer<typeof WindowResponse>;

/** A report of a window's usage. */
export interface UsageReport {
  /** Identifies the report; a repeated report has the same id and figures. */
  readonly reportId: string;
  /** The fencing number of the duty's holder. */
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
   * Reports a window. Fails with `lease_short` when nothing was written, and with `fencing_stale`
   * when the platform refuses the figures or the fencing number.
   *
   * @param window - the window's number, as text
   * @param report - the report
   * @param guard - the report's deadline and the lease check before it is written
   * @returns nothing once the platform has stored the report
   */
  report(window: string, report: UsageReport, guard: GuardOptions): ResultAsync<void, Failure> {
    const path = formatWindowPath(window);
    return this.#sender.send({ method: 'PUT', path, body: report, ...guard }).andThen(checkReceipt);
  }

  /**
   * Reads the report that the platform has stored for a window.
   *
   * @param window - the window's number, as text
   * @returns the report, or undefined when there is none
   */
  read(window: string): ResultAsync<ReportedWindow | undefined, Failure> {
    return this.#client
      .send({ method: 'GET', path: formatWindowPath(window) })
      .andThen((res): Result<ReportedWindow | undefined, Failure> =>
        res.status === 404 ? ok(undefined) : readJsonResponse(res, WindowResponse),
      );
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await Promise.all([this.#client.close(), this.#sender.close()]);
  }
}

function formatWindowPath(window: string): string {
  return `/v1/usage/windows/${encodeURIComponent(window)}`;
}

function checkReceipt(res: HttpResponse): Result<void, Failure> {
  if (res.status === 200) return ok(undefined);
  if (res.status !== 409) return err(createStatusFailure(res));
  const detail = Buffer.from(res.body).toString('utf8');
  return err(createFailure('fencing_stale', { detail }));
}
