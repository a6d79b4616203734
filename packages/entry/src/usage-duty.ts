/** Usage in an entry: logged by every entry, closed and reported by the holder of the duty. */
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
  DutyKeeper,
  FencedSender,
  USAGE_DUTY,
  UsageLedger,
  UsageReporter,
  UsageWindows,
} from '@hibiscushill/control';
import { type Log, LogTail, UsageReports } from '@hibiscushill/log';
import type { UsageItem } from '@hibiscushill/protocol';

import type { AgentPeer } from './agent-peer';
import type { ServedRequest } from './service-routes';

const STOP_MS: Millis = 3000;

/** What usage needs. */
export interface UsageDutyOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: Log;
  readonly usageUrl: string;
  readonly entry: InstanceId;
  readonly incarnation: IncarnationId;
  readonly candidates: () => readonly InstanceId[];
  readonly windowMs: Millis;
  readonly graceMs: Millis;
}

/** The usage of one entry, and the duty of reporting. */
export class UsageDuty {
  readonly #options: UsageDutyOptions;

  readonly #tail: LogTail;

  readonly #keeper: DutyKeeper;

  readonly #ledger: UsageLedger;

  readonly #reporter: UsageReporter;

  readonly #agents = new Map<IncarnationId, AgentPeer>();

  /** @param options - the log, the reports and the window */
  constructor(options: UsageDutyOptions) {
    const { clock, metrics, log, entry, incarnation, candidates } = options;
    this.#options = options;
    this.#tail = new LogTail({ log, clock, stream: 'usage', metrics });
    this.#keeper = new DutyKeeper({
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
    this.#ledger = new UsageLedger({ log, clock, incarnation, metrics });
    this.#reporter = new UsageReporter({
      log,
      tail: this.#tail,
      clock,
      metrics,
      keeper: this.#keeper,
      sender: new FencedSender({ keeper: this.#keeper, metrics }),
      windows: new UsageWindows({ windowMs: options.windowMs }),
      reports: new UsageReports({ url: options.usageUrl }),
      graceMs: options.graceMs,
    });
    this.#ledger.onAck((agent, throughSeq) => {
      this.#agents.get(agent)?.send({ $case: 'usageAck', value: { throughSeq } });
    });
  }

  /** The keeper of the duty. */
  get keeper(): DutyKeeper {
    return this.#keeper;
  }

  /** Starts to log and, when the duty is held, to report. */
  start(): void {
    this.#keeper.start();
    this.#reporter.start();
    this.#ledger.start();
    this.#tail.start();
  }

  /** Logs what is left, hands the duty over, and stops. */
  async stop(): Promise<void> {
    await this.#ledger.stop(STOP_MS);
    await this.#reporter.stop();
    await this.#keeper.release();
    await this.#tail.stop();
  }

  /** Takes a request that was answered whole here. */
  add(served: ServedRequest): void {
    const { request, team, service, tokens } = served;
    const finishedAt = this.#options.clock.wall();
    this.#ledger.add({ request, team, service, requests: 1, tokens, finishedAt });
  }

  /** Takes what an agent holds. */
  takeBatch(items: readonly UsageItem[], peer: AgentPeer): void {
    const agent = peer.hello?.incarnation as IncarnationId | undefined;
    if (agent === undefined) return;
    this.#agents.set(agent, peer);
    this.#ledger.takeBatch(
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

  /** Forgets an agent that is gone. */
  forget(peer: AgentPeer): void {
    const agent = peer.hello?.incarnation as IncarnationId | undefined;
    if (agent === undefined || this.#agents.get(agent) !== peer) return;
    this.#agents.delete(agent);
    this.#ledger.forgetAgent(agent);
  }
}
