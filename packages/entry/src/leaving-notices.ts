/** What agents have said in their frames about targets that are leaving. */
import {
  type IncarnationId,
  type Metrics,
  type Millis,
  type TargetId,
  createLogger,
} from '@hibiscushill/base';
import type { AgentFramePayload, AgentHello } from '@hibiscushill/protocol';
import { LeavingTargets } from '@hibiscushill/routing';

const log = createLogger('entry.leaving');

// More than the targets of a large deployment that leave in an hour.
const MAX_REPORTED_TARGETS = 4_096;

/** A frame that says so, and what is known about it. */
export interface LeavingNotice {
  readonly frame: AgentFramePayload;
  /** The request of the frame's attempt; undefined when it is no longer open. */
  readonly request: string | undefined;
  /** The time since the agent learnt that its target is leaving. */
  readonly ageMs: Millis | undefined;
}

/** Remembers which incarnations of agents have said that their targets are leaving. */
export class LeavingNotices {
  readonly #metrics: Metrics;

  readonly #leaving = new LeavingTargets<IncarnationId>();

  // The incarnation that said so last, by target, until a later one has connected.
  readonly #reported = new Map<TargetId, AgentHello>();

  /** @param metrics - counts the incarnations */
  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  /** Tells whether an incarnation has said that its target is leaving. */
  isLeaving(agent: AgentHello): boolean {
    return this.#leaving.isLeaving(agent.target as TargetId, agent.incarnation as IncarnationId);
  }

  /**
   * Records that an incarnation has said that its target is leaving.
   *
   * @param agent - the hello of the link on which it said so
   * @param notice - the frame in which it said so
   */
  record(agent: AgentHello, { frame, request, ageMs }: LeavingNotice): void {
    const target = agent.target as TargetId;
    const incarnation = agent.incarnation as IncarnationId;
    if (!this.#leaving.record(target, incarnation)) return;
    this.#report(target, agent);
    this.#metrics.count('leaving.learnt');
    const attempt = 'attempt' in frame.value ? frame.value.attempt : undefined;
    const fields = { target, incarnation, frame: frame.$case, attempt, request, ageMs };
    log.info('A target says that it is leaving; it gets no new requests.', fields);
  }

  /** Records that an agent has connected, which ends what an earlier incarnation has said. */
  recordConnected(agent: AgentHello): void {
    const { incarnation, startedMs } = agent;
    const target = agent.target as TargetId;
    const earlier = this.#reported.get(target);
    if (earlier === undefined || earlier.incarnation === incarnation) return;
    if (earlier.startedMs > startedMs || this.isLeaving(agent)) return;
    this.#reported.delete(target);
    this.#metrics.count('leaving.ended');
    const fields = { target, incarnation, earlierIncarnation: earlier.incarnation };
    log.info('A target that was leaving has started again; it gets requests.', fields);
  }

  #report(target: TargetId, agent: AgentHello): void {
    this.#reported.delete(target);
    this.#reported.set(target, agent);
    const [oldest] = this.#reported.keys();
    if (this.#reported.size > MAX_REPORTED_TARGETS && oldest !== undefined) {
      this.#reported.delete(oldest);
    }
  }
}
