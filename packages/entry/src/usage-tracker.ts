/** Usage in an entry: every entry logs it; the holder of the duty reports it by windows. */
import type {
  Clock,
  IncarnationId,
  InstanceId,
  Metrics,
  Millis,
  RequestId,
  ServiceId,
  TeamId,
  WallTime,
} from '@hibiscushill/base';
import {
  DutyElector,
  FencedSender,
  USAGE_DUTY,
  UsageBatcher,
  UsageReporter,
  UsageWindows,
} from '@hibiscushill/control';
import { type Log, LogTail, UsageReports } from '@hibiscushill/log';
import type { UsageItem } from '@hibiscushill/protocol';

import type { AgentClient } from './agent-client';
import type { ServedRequest } from './service-routes';

const FLUSH_TIMEOUT_MS: Millis = 3000;

/** The log, the usage reports and the length of a window. */
export interface UsageTrackerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly usageUrl: string;
  readonly entry: InstanceId;
  readonly incarnation: IncarnationId;
  /** The live entries, which may claim the duty. */
  readonly candidates: () => readonly InstanceId[];
  readonly windowMs: Millis;
  /** Time between the end of a window and its closing. */
  readonly graceMs: Millis;
}

/** Logs the usage of this entry and of agents, and reports windows while it holds the duty. */
export class UsageTracker {
  readonly #options: UsageTrackerOptions;

  readonly #tail: LogTail;

  readonly #elector: DutyElector;

  readonly #batcher: UsageBatcher;

  readonly #reporter: UsageReporter;

  readonly #agents = new Map<IncarnationId, AgentClient>();

  /** @param options - the log, the reports and the length of a window */
  constructor(options: UsageTrackerOptions) {
    const { clock, metrics, log, entry, incarnation, candidates } = options;
    this.#options = options;
    this.#tail = new LogTail({ log, clock, stream: 'usage', metrics });
    this.#elector = new DutyElector({
      log,
      tail: this.#tail,
      stream: 'usage',
      duty: USAGE_DUTY,
      holder: entry,
      incarnation,
      clock,
      metrics,
      candidates,
    });
    this.#batcher = new UsageBatcher({ log, clock, incarnation, metrics });
    this.#reporter = new UsageReporter({
      log,
      tail: this.#tail,
      clock,
      metrics,
      elector: this.#elector,
      sender: new FencedSender({ elector: this.#elector, metrics }),
      windows: new UsageWindows({ windowMs: options.windowMs }),
      reports: new UsageReports({ url: options.usageUrl }),
      graceMs: options.graceMs,
    });
    this.#batcher.onAck((agent, throughSeq) => {
      this.#agents.get(agent)?.send({ $case: 'usageAck', value: { throughSeq } });
    });
  }

  /** The elector that claims the usage duty. */
  get elector(): DutyElector {
    return this.#elector;
  }

  /** Starts to log usage and, while the duty is held, to report it. */
  start(): void {
    this.#elector.start();
    this.#reporter.start();
    this.#batcher.start();
    this.#tail.start();
  }

  /** Logs the remaining usage, releases the duty, and stops. */
  async stop(): Promise<void> {
    await this.#batcher.stop(FLUSH_TIMEOUT_MS);
    await this.#reporter.stop();
    await this.#elector.release();
    await this.#tail.stop();
  }

  /** Records a request whose complete response this entry sent. */
  recordServed(served: ServedRequest): void {
    const { request, team, service, tokens } = served;
    const finishedAt = this.#options.clock.wall();
    this.#batcher.add({ request, team, service, requests: 1, tokens, finishedAt });
  }

  /** Logs usage that an agent has buffered, and then sends the agent an acknowledgement. */
  recordAgentBatch(items: readonly UsageItem[], client: AgentClient): void {
    const agent = client.hello?.incarnation as IncarnationId | undefined;
    if (agent === undefined) return;
    this.#agents.set(agent, client);
    this.#batcher.addAgentBatch(
      agent,
      items.map((item) => ({
        seq: item.seq,
        request: item.request as RequestId,
        team: item.team as TeamId,
        service: item.service as ServiceId,
        requests: 1,
        tokens: item.tokens,
        finishedAt: item.finishedMs as WallTime,
      })),
    );
  }

  /** Removes an agent whose link was closed. */
  forgetAgent(client: AgentClient): void {
    const agent = client.hello?.incarnation as IncarnationId | undefined;
    if (agent === undefined || this.#agents.get(agent) !== client) return;
    this.#agents.delete(agent);
    this.#batcher.forgetAgent(agent);
  }
}
