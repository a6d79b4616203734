/** One run of a scenario against a base URL. */
import { type Clock, type Millis, SystemClock } from '@hibiscushill/base';
import { Pool } from 'undici';

import { type PlannedRequest, planTeam } from './arrivals';
import { type Figures, Recorder } from './recorder';
import type { Scenario } from './scenario';
import { type Verdict, verify } from './verify';
import { readProcessorSeconds } from './watch';

/** What happened to one request. Times are milliseconds since the start of the run. */
export interface HistoryLine {
  readonly id: string;
  readonly team: string;
  readonly method: string;
  readonly path: string;
  readonly dueMs: Millis;
  readonly sentMs: Millis;
  readonly endMs: Millis;
  readonly status: number;
  readonly verdict: Verdict;
}

/** The processor use of a watched process during the run. */
export interface ProcessUse {
  readonly pid: number;
  readonly processorSeconds: number;
  /** Answers of the run for each second of processor time. */
  readonly answersPerCore: number;
}

/** The figures of a run. */
export interface Report {
  readonly baseUrl: string;
  readonly seed: number;
  readonly durationMs: Millis;
  readonly elapsedMs: Millis;
  readonly total: Figures;
  readonly teams: Readonly<Record<string, Figures>>;
  readonly processes: readonly ProcessUse[];
}

/** How a run is done. */
export interface RunOptions {
  readonly baseUrl: string;
  readonly watchPids?: readonly number[];
  readonly onHistory?: (line: HistoryLine) => void;
  readonly clock?: Clock;
}

const GRACE_MS = 10_000;

/** Sends a scenario's requests at their planned times, whether earlier ones have ended or not. */
class Run {
  readonly #scenario: Scenario;

  readonly #clock: Clock;

  readonly #pool: Pool;

  readonly #onHistory: (line: HistoryLine) => void;

  readonly #total = new Recorder();

  readonly #teams = new Map<string, Recorder>();

  readonly #open = new Set<Promise<void>>();

  readonly #startedAt: Millis;

  constructor(scenario: Scenario, options: RunOptions) {
    this.#scenario = scenario;
    this.#clock = options.clock ?? new SystemClock();
    this.#onHistory = options.onHistory ?? (() => undefined);
    this.#pool = new Pool(options.baseUrl, { connections: scenario.maxConnections });
    this.#startedAt = this.#clock.mono();
    scenario.teams.forEach(({ name }) => this.#teams.set(name, new Recorder()));
  }

  async finish(): Promise<void> {
    await Promise.all(this.#scenario.teams.map((_, index) => this.#sendTeam(index)));
    await Promise.all(this.#open);
    await this.#pool.destroy();
  }

  summarize(): Pick<Report, 'elapsedMs' | 'total' | 'teams'> {
    const { durationMs } = this.#scenario;
    return {
      elapsedMs: Math.round(this.#elapsed),
      total: this.#total.summarize(durationMs),
      teams: Object.fromEntries(
        [...this.#teams].map(([name, recorder]) => [name, recorder.summarize(durationMs)]),
      ),
    };
  }

  get #elapsed(): Millis {
    return this.#clock.mono() - this.#startedAt;
  }

  async #sendTeam(index: number): Promise<void> {
    for (const planned of planTeam(this.#scenario, index)) {
      const waitMs = planned.dueMs - this.#elapsed;
      if (waitMs > 0) await this.#clock.sleep(waitMs);
      const task = this.#send(planned);
      this.#open.add(task);
      void task.finally(() => this.#open.delete(task));
    }
  }

  async #send(planned: PlannedRequest): Promise<void> {
    const sentMs = this.#elapsed;
    const { team, route, id, dueMs } = planned;
    this.#total.offer();
    this.#teams.get(team.name)?.offer();
    const { status, verdict } = await this.#exchange(planned);
    const endMs = this.#elapsed;
    const { method, path, deadlineMs } = route;
    const finished = { team: team.name, verdict, latencyMs: endMs - dueMs, deadlineMs };
    this.#total.record(finished);
    this.#teams.get(team.name)?.record(finished);
    this.#onHistory({ id, team: team.name, method, path, dueMs, sentMs, endMs, status, verdict });
  }

  async #exchange(planned: PlannedRequest): Promise<{ status: number; verdict: Verdict }> {
    const { route, id } = planned;
    let status = 0;
    try {
      const res = await this.#pool.request({
        method: route.method,
        path: fillIn(route.path, id),
        headers: createHeaders(planned),
        body: route.body === undefined ? null : fillIn(route.body, id),
        headersTimeout: this.#scenario.durationMs + GRACE_MS,
        signal: AbortSignal.timeout(route.deadlineMs + GRACE_MS),
      });
      status = res.statusCode;
      return { status, verdict: verify(planned, { status, text: await res.body.text() }) };
    } catch {
      return { status, verdict: status === 0 ? 'unreachable' : 'clipped' };
    }
  }
}

/**
 * Runs a scenario.
 *
 * @param scenario - the traffic
 * @param options - where to send it, the processes to watch, and what takes the history
 * @returns the figures
 */
export async function runScenario(scenario: Scenario, options: RunOptions): Promise<Report> {
  const pids = options.watchPids ?? [];
  const before = await readProcessorSeconds(pids);
  const run = new Run(scenario, options);
  await run.finish();
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
  const headers = Object.entries(route.headers).map(([name, value]) => [name, fillIn(value, id)]);
  return {
    'x-request-id': id,
    ...(team.key !== undefined && { authorization: `Bearer ${team.key}` }),
    ...(route.body !== undefined && { 'content-type': 'application/json' }),
    ...(Object.fromEntries(headers) as Record<string, string>),
  };
}

function fillIn(text: string, id: string): string {
  return text.replaceAll('{id}', id);
}
