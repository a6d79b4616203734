/** What this process has seen of each target. */
import type { Clock, Millis, MonoTime, TargetId } from '@hibiscushill/base';
import { Ejector, type TargetOutcome } from '@hibiscushill/routing';

import type { ToldLoad } from './target-port';

interface TargetRecord {
  inFlight: number;
  load: ToldLoad | undefined;
  loadAt: MonoTime;
  answerMs: Millis | undefined;
}

// The weight of the newest answer in a target's usual time.
const SMOOTHING = 0.25;
// A told load says little about the present after this.
const LOAD_FRESH_MS = 1_000;
// Failures in a row that leave a target out, and for how long at first.
const EJECTION = { failures: 3, baseMs: 1_000, mostMs: 4_000, mostShare: 0.5 };

/** Counts requests in flight, usual times and failures of targets. */
export class TargetStats {
  readonly #clock: Clock;

  readonly #records = new Map<TargetId, TargetRecord>();

  readonly #ejector: Ejector;

  /** @param clock - ages what was told */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#ejector = new Ejector({ clock, ...EJECTION });
  }

  /** Sets the targets that exist, and forgets all others. */
  setTargets(targets: readonly TargetId[]): void {
    this.#ejector.setTargets(targets);
    const present = new Set(targets);
    [...this.#records.entries()]
      .filter(([id, record]) => !present.has(id) && record.inFlight === 0)
      .forEach(([id]) => this.#records.delete(id));
  }

  recordSent(target: TargetId): void {
    this.#ejector.recordSent(target);
    this.#read(target).inFlight += 1;
  }

  /**
   * Records how a request at a target ended.
   *
   * @param target - the target
   * @param outcome - how, or undefined when that tells nothing about the target
   * @param tookMs - the time to a whole answer, in milliseconds
   */
  recordEnded(target: TargetId, outcome?: TargetOutcome, tookMs?: Millis): void {
    const record = this.#read(target);
    record.inFlight = Math.max(0, record.inFlight - 1);
    if (outcome) this.#ejector.recordOutcome(target, outcome);
    if (tookMs === undefined) return;
    record.answerMs =
      record.answerMs === undefined
        ? tookMs
        : record.answerMs + (tookMs - record.answerMs) * SMOOTHING;
  }

  /** Takes the load that a target told. */
  takeLoad(target: TargetId, load: ToldLoad): void {
    Object.assign(this.#read(target), { load, loadAt: this.#clock.mono() });
  }

  /** Estimates the requests at a target from all callers, per slot. */
  loadOf(target: TargetId, slots: number): number {
    const record = this.#records.get(target);
    if (!record) return 0;
    const isFresh = record.load && this.#clock.mono() - record.loadAt < LOAD_FRESH_MS;
    const told = isFresh && record.load ? record.load.running + record.load.waiting : 0;
    return Math.max(told, record.inFlight) / Math.max(1, slots);
  }

  /** The usual time to an answer; undefined before the first. */
  usualMs(target: TargetId): Millis | undefined {
    return this.#records.get(target)?.answerMs;
  }

  isEjected(target: TargetId): boolean {
    return this.#ejector.isEjected(target);
  }

  #read(target: TargetId): TargetRecord {
    const record = this.#records.get(target) ?? {
      inFlight: 0,
      load: undefined,
      loadAt: -Infinity as MonoTime,
      answerMs: undefined,
    };
    this.#records.set(target, record);
    return record;
  }
}
