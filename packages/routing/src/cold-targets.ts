/** Which targets are cold, and until when. */
import type { Clock, Millis, MonoTime, TargetId } from '@hibiscushill/base';

/** Why a target counts as cold. */
export type ColdReason = 'stated' | 'started' | 'failed' | 'evacuation-ended';

/** A time for which a target counts as cold. */
export interface ColdPeriod {
  readonly reason: ColdReason;
  readonly until: MonoTime;
}

/** What a registration says about how cold its target is. */
export interface ColdRegistration<Incarnation extends string | number> {
  readonly target: TargetId;
  readonly incarnation: Incarnation;
  /** The number of the heartbeat with which it was written. */
  readonly heartbeat: number;
  /** For how much longer the target is cold; undefined if the registration doesn't say. */
  readonly coldLeftMs: Millis | undefined;
  /** How long targets of its service are cold after their start; undefined if they aren't. */
  readonly durationMs: Millis | undefined;
}

/** What a response says about how cold its target is. */
export interface ColdStatement<Incarnation extends string | number> {
  readonly target: TargetId;
  /** The incarnation that the request was sent to. */
  readonly incarnation: Incarnation;
  readonly coldLeftMs: Millis;
  /** When the request was sent. */
  readonly sentAt: MonoTime;
}

/** A refused or broken connection to a target. */
export interface ColdFailure<Incarnation extends string | number> {
  readonly target: TargetId;
  /** The incarnation that the request was sent to. */
  readonly incarnation: Incarnation;
  /** How long targets of its service are cold after their start. */
  readonly durationMs: Millis;
}

const NEVER = -Infinity as MonoTime;
// A registration may have been written before the event that it is read after, but the next one of
// the same incarnation is written a heartbeat later, and records arrive within a heartbeat.
const MIN_WARM_REGISTRATIONS = 2;
// In its first moments a process reads the registrations of targets that have run for long.
const FIRST_LIST_MS = 2_000;
// More than the targets of a large deployment that start in an hour.
const MAX_TARGETS = 4_096;

/**
 * Decides which targets are cold, for targets that crash if they get their usual load right after a
 * start that a process learns of late or only by its failed requests.
 */
export class ColdTargets<Incarnation extends string | number> {
  readonly #clock: Clock;

  readonly #startedAt: MonoTime;

  readonly #states = new Map<TargetId, TargetState<Incarnation>>();

  /** @param clock - times cold periods */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.mono();
  }

  /** Records a registration, which is not older than the last one of the target. */
  recordRegistration(registration: ColdRegistration<Incarnation>): void {
    const now = this.#clock.mono();
    const known = this.#states.get(registration.target);
    const state = known ?? this.#create(registration);
    const isUnknown = !known && now - this.#startedAt > FIRST_LIST_MS;
    state.register(registration, now, isUnknown);
  }

  /**
   * Records what a response says. That the target is not cold counts if the request was sent after
   * everything that says it is.
   */
  recordStatement(statement: ColdStatement<Incarnation>): void {
    const state = this.#states.get(statement.target) ?? this.#create(statement);
    state.hear(statement, this.#clock.mono());
  }

  /** Records that a target responded to a request, whatever it said. */
  recordResponse(target: TargetId, sentAt: MonoTime): void {
    this.#states.get(target)?.recordResponse(sentAt, this.#clock.mono());
  }

  /**
   * Records a refused or broken connection: the target may have started again, or may start at any
   * time until it responds.
   */
  recordFailure(failure: ColdFailure<Incarnation>): void {
    const state = this.#states.get(failure.target) ?? this.#create(failure);
    // A later incarnation that has registered meanwhile has said how cold it is.
    if (state.incarnation !== failure.incarnation) return;
    state.presume('failed', failure.durationMs, this.#clock.mono());
  }

  /** Records that a target is used again after the evacuation of its zone. */
  recordReturn(target: TargetId, durationMs: Millis): void {
    this.#states.get(target)?.presume('evacuation-ended', durationMs, this.#clock.mono());
  }

  /** Finds the time for which a target counts as cold; undefined if it doesn't. */
  find(target: TargetId): ColdPeriod | undefined {
    return this.#states.get(target)?.find(this.#clock.mono());
  }

  #create(of: {
    readonly target: TargetId;
    readonly incarnation: Incarnation;
  }): TargetState<Incarnation> {
    const state = new TargetState(of.incarnation);
    this.#states.set(of.target, state);
    const [oldest] = this.#states.keys();
    if (this.#states.size > MAX_TARGETS && oldest !== undefined) this.#states.delete(oldest);
    return state;
  }
}

/** What a cold target tolerates, and the bound on what it may get. */
export interface ColdBound {
  /** The requests a second that it tolerates from all callers together. */
  readonly perSecond: number;
  /** How many times that rate it may get in one second. */
  readonly overage: number;
  /** The requests that it may get in one second beyond that. */
  readonly slack: number;
}

// Processes that disagree about the owner of a turn, since some can't read the log, are of two
// views at most: that of the processes in touch, and the even shares of all others.
const MAX_OWNERS = 2;
// At the rate r, at least 2 a second, each owner of all turns sends at most 1.5 r + 1 in any second.
const GRANT_SECONDS = 0.5;
const EXTRA_TURNS = 1;
// Keeps a target in use whose bound leaves no room for processes that disagree.
const MIN_FRACTION = 0.25;

/**
 * Computes the limit of a cold target: with two owners of each turn, the bound still holds.
 *
 * @returns requests a second of all processes together, at most what the target tolerates
 */
export function computeColdRate({ perSecond, overage, slack }: ColdBound): number {
  const perOwner = (perSecond * overage + slack) / MAX_OWNERS;
  // Below 2 a second, a turn stays open for its own length: an owner sends at most r + 2.
  const slowRate = perOwner - EXTRA_TURNS - 1;
  const rate = (perOwner - EXTRA_TURNS) / (1 + GRANT_SECONDS);
  const safeRate = Math.min(rate, slowRate);
  return Math.min(perSecond, Math.max(perSecond * MIN_FRACTION, safeRate));
}

/** That a target counts as cold without having said so. */
interface Presumption<Incarnation> {
  readonly reason: ColdReason;
  readonly durationMs: Millis;
  /** When the target has started again at the latest; undefined while it has not responded. */
  readonly startedBy: MonoTime | undefined;
  /** The incarnation of the registrations that have contradicted it, and how many there are. */
  readonly warmIncarnation: Incarnation | undefined;
  readonly warmRegistrations: number;
}

/** What is known of one target. */
class TargetState<Incarnation extends string | number> {
  #incarnation: Incarnation;

  #heartbeat = NaN;

  /** Until when it is cold by its newest registration. */
  #registeredUntil = NEVER;

  /** Until when it is cold by its responses. */
  #respondedUntil = NEVER;

  #presumption: Presumption<Incarnation> | undefined;

  /** When something last said that the target is cold. */
  #evidenceAt = NEVER;

  constructor(incarnation: Incarnation) {
    this.#incarnation = incarnation;
  }

  get incarnation(): Incarnation {
    return this.#incarnation;
  }

  register(
    { incarnation, heartbeat, coldLeftMs, durationMs }: ColdRegistration<Incarnation>,
    now: MonoTime,
    isUnknown: boolean,
  ): void {
    // The time of a record that is read again has been counted from the first reading.
    if (incarnation === this.#incarnation && heartbeat === this.#heartbeat) return;
    const isNew = isUnknown || incarnation !== this.#incarnation;
    this.#incarnation = incarnation;
    this.#heartbeat = heartbeat;
    if (coldLeftMs === undefined) {
      if (isNew && durationMs !== undefined) this.presume('started', durationMs, now);
      return;
    }
    const isCold = coldLeftMs > 0;
    this.#registeredUntil = isCold ? ((now + coldLeftMs) as MonoTime) : NEVER;
    if (isCold) this.#evidenceAt = now;
    else this.#contradict();
  }

  hear({ incarnation, coldLeftMs, sentAt }: ColdStatement<Incarnation>, now: MonoTime): void {
    if (coldLeftMs > 0) {
      this.#respondedUntil = Math.max(this.#respondedUntil, now + coldLeftMs) as MonoTime;
      this.#evidenceAt = now;
    } else if (sentAt > this.#evidenceAt && incarnation === this.#incarnation) {
      this.#registeredUntil = NEVER;
      this.#respondedUntil = NEVER;
      this.#presumption = undefined;
    }
  }

  presume(reason: ColdReason, durationMs: Millis, now: MonoTime): void {
    const startedBy = reason === 'failed' ? undefined : now;
    const registrations = { warmIncarnation: undefined, warmRegistrations: 0 };
    this.#presumption = { reason, durationMs, startedBy, ...registrations };
    this.#evidenceAt = now;
  }

  recordResponse(sentAt: MonoTime, now: MonoTime): void {
    const presumption = this.#presumption;
    if (!presumption || presumption.startedBy !== undefined || sentAt <= this.#evidenceAt) return;
    this.#presumption = { ...presumption, startedBy: now };
  }

  find(now: MonoTime): ColdPeriod | undefined {
    const stated = Math.max(this.#registeredUntil, this.#respondedUntil) as MonoTime;
    const { reason, durationMs = 0, startedBy = now } = this.#presumption ?? {};
    const until = Math.max(stated, reason ? startedBy + durationMs : NEVER) as MonoTime;
    if (until <= now) return undefined;
    return { reason: stated > now ? 'stated' : (reason ?? 'stated'), until };
  }

  /** Counts a registration that says that the target is not cold against the presumption. */
  #contradict(): void {
    const presumption = this.#presumption;
    if (!presumption) return;
    const isSame = presumption.warmIncarnation === this.#incarnation;
    const warmRegistrations = isSame ? presumption.warmRegistrations + 1 : 1;
    const isRefuted =
      presumption.reason === 'started' || warmRegistrations >= MIN_WARM_REGISTRATIONS;
    this.#presumption = isRefuted
      ? undefined
      : { ...presumption, warmIncarnation: this.#incarnation, warmRegistrations };
  }
}
