/** Which requests may be what crashes targets, and how each of them may still be run. */
import type { ContentDigest, Millis, RecordId, ServiceId, WallTime } from '@hibiscushill/base';

/**
 * How a request may be run: like any other, only alone in a trial that no other process runs beside
 * it, or not at all.
 */
export type RunPermit = 'free' | 'alone' | 'never';

/** What one process has observed. */
export type SuspectFact =
  /** The connection to an incarnation of a target broke while it ran the request. */
  | {
      readonly type: 'broken';
      readonly content: ContentDigest;
      readonly incarnation: string;
      readonly trial?: RecordId;
    }
  /** A target has answered the request completely. */
  | { readonly type: 'answered'; readonly content: ContentDigest; readonly trial?: RecordId }
  /** A target has answered a request that was sent to it after a connection to it broke. */
  | { readonly type: 'survived'; readonly incarnation: string }
  /** A trial ended without a broken connection or an answer. */
  | { readonly type: 'trial-ended'; readonly trial: RecordId }
  /** What a process knew of a suspect, for those that can't read the earlier facts. */
  | { readonly type: 'known'; readonly suspect: KnownSuspect };

/** A request to be run alone. */
export interface TrialClaim {
  readonly id: RecordId;
  readonly content: ContentDigest;
  readonly service: ServiceId;
  /** How long the request may run at most, in milliseconds. */
  readonly maxMs: Millis;
}

/** A suspect, as it is passed on. */
export interface KnownSuspect {
  readonly content: ContentDigest;
  /** The incarnations whose connections broke while they ran the request. */
  readonly incarnations: readonly string[];
  /** The trials after the request counted as one that crashes targets. */
  readonly retrials: number;
  readonly lastBrokenAt: WallTime;
}

/** What a fact or a claim changes about a request. */
export type SuspectChange = 'suspected' | 'refused' | 'cleared';

interface Suspect {
  readonly incarnations: Set<string>;
  retrials: number;
  lastBrokenAt: WallTime;
}

interface Trial extends TrialClaim {
  readonly until: WallTime;
}

// The incarnations that a request may break before it is run alone.
const MAX_FREE_BREAKS = 2;
// The incarnations after which it counts as a request that crashes targets.
const MAX_BREAKS = 3;
// A last trial frees a request that only ran beside others that crash targets.
const MAX_RETRIALS = 1;
const RETRIAL_DELAY_MS = 5_000;
// Gives a target that a trial has crashed time to start again before the service's next trial.
const PAUSE_AFTER_BREAK_MS = 2_000;
// The time that the end of a trial may take to reach the other processes.
const TRIAL_MARGIN_MS = 500;
const MAX_SUSPECTS = 1_024;
const MAX_AGE_MS = 3_600_000;

/**
 * Tells requests that crash the targets that run them from requests that only ran beside them.
 * Meant for callers that send such a request again and again to all processes, beside many other
 * requests of which some run at each target that crashes.
 *
 * A request is a suspect from the first broken connection on, and none any more once a target has
 * answered it: a request that crashes targets is never answered, while one that only runs beside it
 * is answered in between. A target that goes on to answer others has not crashed, so that the break
 * of its connection doesn't count. After a second target it is run alone: one trial of each service at a
 * time, over all processes. After a third it is refused, but for one later trial.
 *
 * All processes apply the same facts and claims in the order of the log, with the times that their
 * records hold, and so reach the same verdicts, also when they read the records later.
 */
export class SuspectRequests {
  readonly #suspects = new Map<ContentDigest, Suspect>();

  readonly #trials = new Map<ServiceId, Trial>();

  readonly #pausedUntil = new Map<ServiceId, WallTime>();

  readonly #clearedAt = new Map<ContentDigest, WallTime>();

  /** How many requests are suspects. */
  get size(): number {
    return this.#suspects.size;
  }

  /** Whether a request is a suspect. */
  has(content: ContentDigest): boolean {
    return this.#suspects.has(content);
  }

  /** The incarnations of targets whose connections broke while they ran a request. */
  countBreaks(content: ContentDigest): number {
    return this.#suspects.get(content)?.incarnations.size ?? 0;
  }

  /** Decides how a request may be run now. */
  decide(content: ContentDigest, now: WallTime): RunPermit {
    const suspect = this.#suspects.get(content);
    if (!suspect || now - suspect.lastBrokenAt > MAX_AGE_MS) return 'free';
    if (suspect.incarnations.size < MAX_FREE_BREAKS) return 'free';
    if (suspect.incarnations.size < MAX_BREAKS) return 'alone';
    const mayRetry = suspect.retrials < MAX_RETRIALS;
    return mayRetry && now - suspect.lastBrokenAt >= RETRIAL_DELAY_MS ? 'alone' : 'never';
  }

  /**
   * Applies a fact.
   *
   * @param fact - what a process has observed
   * @param at - when its record was written
   * @returns what it changes for the request; undefined if nothing
   */
  record(fact: SuspectFact, at: WallTime): SuspectChange | undefined {
    switch (fact.type) {
      case 'broken':
        this.#endTrial(fact.trial, at + PAUSE_AFTER_BREAK_MS);
        return this.#addBreaks(fact.content, [fact.incarnation], at);
      case 'answered':
        this.#endTrial(fact.trial);
        return this.#clear(fact.content, at);
      case 'survived':
        this.#removeBreaks(fact.incarnation);
        return undefined;
      case 'trial-ended':
        this.#endTrial(fact.trial);
        return undefined;
      default:
        return this.#merge(fact.suspect);
    }
  }

  /**
   * Applies a claim to run a suspect alone.
   *
   * @param claim - what is to be run
   * @param at - when its record was written
   * @returns whether the process that claims it may run it
   */
  claim(claim: TrialClaim, at: WallTime): boolean {
    const { content, service, maxMs } = claim;
    if (!this.mayClaim(content, service, at)) return false;
    const suspect = this.#suspects.get(content);
    if (suspect && suspect.incarnations.size >= MAX_BREAKS) suspect.retrials += 1;
    const until = (at + maxMs + TRIAL_MARGIN_MS) as WallTime;
    this.#trials.set(service, { ...claim, until });
    return true;
  }

  /** Whether a claim would succeed now, as far as is known. */
  mayClaim(content: ContentDigest, service: ServiceId, now: WallTime): boolean {
    if (this.decide(content, now) !== 'alone') return false;
    if (now < (this.#pausedUntil.get(service) ?? 0)) return false;
    return now >= (this.#trials.get(service)?.until ?? 0);
  }

  /** Lists the different shapes of the suspects. */
  listShapes(getShape: (content: ContentDigest) => string): ReadonlySet<string> {
    return new Set([...this.#suspects.keys()].map(getShape));
  }

  /** Lists the suspects that are not run like any other request, those with most evidence first. */
  listKnown(max: number): KnownSuspect[] {
    return [...this.#suspects]
      .filter(([, { incarnations }]) => incarnations.size >= MAX_FREE_BREAKS)
      .sort(([, a], [, b]) => b.incarnations.size - a.incarnations.size)
      .slice(0, max)
      .map(([content, { incarnations, retrials, lastBrokenAt }]) => ({
        content,
        incarnations: [...incarnations],
        retrials,
        lastBrokenAt,
      }));
  }

  #addBreaks(
    content: ContentDigest,
    incarnations: readonly string[],
    at: WallTime,
  ): SuspectChange | undefined {
    const known = this.#suspects.get(content);
    const isCurrent = known !== undefined && at - known.lastBrokenAt <= MAX_AGE_MS;
    const suspect = isCurrent
      ? known
      : { incarnations: new Set<string>(), retrials: 0, lastBrokenAt: at };
    const before = suspect.incarnations.size;
    incarnations.forEach((incarnation) => suspect.incarnations.add(incarnation));
    const after = suspect.incarnations.size;
    if (after === before) return undefined;
    suspect.lastBrokenAt = Math.max(suspect.lastBrokenAt, at) as WallTime;
    // Keeps the suspects with the newest evidence last.
    this.#suspects.delete(content);
    this.#suspects.set(content, suspect);
    this.#removeWeakest();
    if (after >= MAX_BREAKS) return before < MAX_BREAKS ? 'refused' : undefined;
    return before === 0 ? 'suspected' : undefined;
  }

  /** Withdraws what was observed at an incarnation that has not crashed. */
  #removeBreaks(incarnation: string): void {
    this.#suspects.forEach(({ incarnations }, content) => {
      if (incarnations.delete(incarnation) && incarnations.size === 0) {
        this.#suspects.delete(content);
      }
    });
  }

  #clear(content: ContentDigest, at: WallTime): SuspectChange | undefined {
    if (!this.#suspects.delete(content)) return undefined;
    this.#clearedAt.delete(content);
    this.#clearedAt.set(content, at);
    const [oldest] = this.#clearedAt.keys();
    if (this.#clearedAt.size > MAX_SUSPECTS && oldest) this.#clearedAt.delete(oldest);
    return 'cleared';
  }

  /** Applies what another process knew, unless the request was answered since. */
  #merge({
    content,
    incarnations,
    retrials,
    lastBrokenAt,
  }: KnownSuspect): SuspectChange | undefined {
    if (lastBrokenAt <= (this.#clearedAt.get(content) ?? -Infinity)) return undefined;
    const change = this.#addBreaks(content, incarnations, lastBrokenAt);
    const suspect = this.#suspects.get(content);
    if (suspect) suspect.retrials = Math.max(suspect.retrials, retrials);
    return change;
  }

  #endTrial(id: RecordId | undefined, pauseUntil?: number): void {
    const [service] = [...this.#trials].find(([, trial]) => trial.id === id) ?? [];
    if (service === undefined) return;
    this.#trials.delete(service);
    if (pauseUntil !== undefined) this.#pausedUntil.set(service, pauseUntil as WallTime);
  }

  /** Bounds the suspects: removes the oldest of those with the least evidence. */
  #removeWeakest(): void {
    if (this.#suspects.size <= MAX_SUSPECTS) return;
    const entries = [...this.#suspects];
    const fewest = Math.min(...entries.map(([, { incarnations }]) => incarnations.size));
    const weakest = entries.find(([, { incarnations }]) => incarnations.size === fewest);
    if (weakest) this.#suspects.delete(weakest[0]);
  }
}
