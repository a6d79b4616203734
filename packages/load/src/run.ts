/** Runs a scenario against a base URL and reports the results. */
import { type Clock, type Millis, SystemClock } from '@hibiscushill/base';
import { Pool } from 'undici';

import { type PlannedRequest, planTeamRequests } from './arrivals';
import { readProcessorSeconds } from './processor-time';
import { type RequestStats, Recorder } from './recorder';
import type { Scenario } from './scenario';
import { type Verdict, verifyResponse } from './verify';

/** The history of one request. Times are in milliseconds since the start of the run. */
export interface HistoryLine {
  readonly id: string;
  readonly team: string;
  readonly method: string;
  readonly path: string;
  readonly dueMs: Millis;
  readonly sentMs: Millis;
  readonly endMs: Millis;
  /** The HTTP status, or 0 when no response came. */
  readonly status: number;
  readonly verdict: Verdict;
}

/** The processor time that a watched process used during the run. */
export interface ProcessUsage {
  readonly pid: number;
  readonly processorSeconds: number;
  /** Answered requests of the whole run per second of processor time, or 0 if none was used. */
  readonly answersPerCore: number;
}

/** The results of a run. */
export interface Report {
  readonly baseUrl: string;
  readonly seed: number;
  /** How long requests were sent, as the scenario declares. */
  readonly durationMs: Millis;
  /** From the start until the last response ended. */
  readonly elapsedMs: Millis;
  readonly total: RequestStats;
  readonly teams: Readonly<Record<string, RequestStats>>;
  /** The watched processes. */
  readonly processes: readonly ProcessUsage[];
}

/** Where a run sends its requests, what it measures, and who receives the history. */
export interface RunOptions {
  readonly baseUrl: string;
  /** Processes whose processor time is measured. */
  readonly watchPids?: readonly number[];
  /** Called once for each request, when it has ended. */
  readonly onHistoryLine?: (line: HistoryLine) => void;
  readonly clock?: Clock;
}

// How long to wait for a response after its deadline, so that it is counted as late.
const RESPONSE_GRACE_MS = 10_000;

/**
 * Sends a scenario's requests at their planned times, whether earlier ones have ended or not
 * (open loop), so that a slow server does not lower the offered load.
 */
class ScenarioRun {
  readonly #scenario: Scenario;

  readonly #clock: Clock;

  readonly #pool: Pool;

  readonly #onHistoryLine: (line: HistoryLine) => void;

  readonly #totalRecorder = new Recorder();

  readonly #teamRecorders = new Map<string, Recorder>();

  readonly #pending = new Set<Promise<void>>();

  readonly #startedAt: Millis;

  constructor(scenario: Scenario, options: RunOptions) {
    this.#scenario = scenario;
    this.#clock = options.clock ?? new SystemClock();
    this.#onHistoryLine = options.onHistoryLine ?? (() => undefined);
    this.#pool = new Pool(options.baseUrl, { connections: scenario.maxConnections });
    this.#startedAt = this.#clock.mono();
    scenario.teams.forEach(({ name }) => this.#teamRecorders.set(name, new Recorder()));
  }

  /** Sends all requests and waits until each has ended. */
  async sendAll(): Promise<void> {
    await Promise.all(this.#scenario.teams.map((_, index) => this.#sendTeamRequests(index)));
    await Promise.all(this.#pending);
    await this.#pool.destroy();
  }

  /** Computes the results, once all requests have ended. */
  summarize(): Pick<Report, 'elapsedMs' | 'total' | 'teams'> {
    const { durationMs } = this.#scenario;
    return {
      elapsedMs: Math.round(this.#elapsedMs),
      total: this.#totalRecorder.summarize(durationMs),
      teams: Object.fromEntries(
        [...this.#teamRecorders].map(([name, recorder]) => [name, recorder.summarize(durationMs)]),
      ),
    };
  }

  get #elapsedMs(): Millis {
    return this.#clock.mono() - this.#startedAt;
  }

  async #sendTeamRequests(index: number): Promise<void> {
    for (const planned of planTeamRequests(this.#scenario, index)) {
      const waitMs = planned.dueMs - this.#elapsedMs;
      if (waitMs > 0) await this.#clock.sleep(waitMs);
      const task = this.#send(planned);
      this.#pending.add(task);
      void task.finally(() => this.#pending.delete(task));
    }
  }

  async #send(planned: PlannedRequest): Promise<void> {
    const sentMs = this.#elapsedMs;
    const { team, route, id, dueMs } = planned;
    this.#totalRecorder.recordOffered();
    this.#teamRecorders.get(team.name)?.recordOffered();
    const { status, verdict } = await this.#requestAndVerify(planned);
    const endMs = this.#elapsedMs;
    const { method, path, deadlineMs } = route;
    const finished = { team: team.name, verdict, latencyMs: endMs - dueMs, deadlineMs };
    this.#totalRecorder.recordFinished(finished);
    this.#teamRecorders.get(team.name)?.recordFinished(finished);
    this.#onHistoryLine({
      id,
      team: team.name,
      method,
      path,
      dueMs,
      sentMs,
      endMs,
      status,
      verdict,
    });
  }

  async #requestAndVerify(planned: PlannedRequest): Promise<{ status: number; verdict: Verdict }> {
    const { route, id } = planned;
    let status = 0;
    try {
      const res = await this.#pool.request({
        method: route.method,
        path: insertId(route.path, id),
        headers: createHeaders(planned),
        body: route.body === undefined ? null : insertId(route.body, id),
        headersTimeout: this.#scenario.durationMs + RESPONSE_GRACE_MS,
        signal: AbortSignal.timeout(route.deadlineMs + RESPONSE_GRACE_MS),
      });
      status = res.statusCode;
      return { status, verdict: verifyResponse(planned, { status, text: await res.body.text() }) };
    } catch {
      return { status, verdict: status === 0 ? 'unreachable' : 'clipped' };
    }
  }
}

/**
 * Runs a scenario and waits until all its requests have ended.
 *
 * @param scenario - the requests to send
 * @param options - where to send them, which processes to watch, and who receives the history
 * @returns the results
 */
export async function runScenario(scenario: Scenario, options: RunOptions): Promise<Report> {
  const pids = options.watchPids ?? [];
  const before = await readProcessorSeconds(pids);
  const run = new ScenarioRun(scenario, options);
  await run.sendAll();
  const after = await readProcessorSeconds(pids);
  const summary = run.summarize();
  const processes = pids.map((pid) => {
    const processorSeconds = (after.get(pid) ?? 0) - (before.get(pid) ?? 0);
    const answersPerCore =
      processorSeconds > 0 ? Math.round(summary.total.answered / processorSeconds) : 0;
    return { pid, processorSeconds: Math.round(processorSeconds * 100) / 100, answersPerCore };
  });
  const { seed, durationMs } = scenario;
  return { baseUrl: options.baseUrl, seed, durationMs, ...summary, processes };
}

function createHeaders({ id, team, route }: PlannedRequest): Record<string, string> {
  const headers = Object.entries(route.headers).map(([name, value]) => [name, insertId(value, id)]);
  return {
    'x-request-id': id,
    ...(team.key !== undefined && { authorization: `Bearer ${team.key}` }),
    ...(route.body !== undefined && { 'content-type': 'application/json' }),
    ...(Object.fromEntries(headers) as Record<string, string>),
  };
}

function insertId(text: string, id: string): string {
  return text.replaceAll('{id}', id);
}
