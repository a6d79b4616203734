/** The exchange, over the log, of what the processes know of requests that may crash targets. */
import {
  type Clock,
  type ContentDigest,
  type IncarnationId,
  type Logger,
  type Metrics,
  type Millis,
  type MonoTime,
  type RecordId,
  type ServiceId,
  type WallTime,
  createId,
} from '@hibiscushill/base';
import type { Log, LogRecord, LogTail } from '@hibiscushill/log';
import type {
  RunPermit,
  SuspectChange,
  SuspectFact,
  SuspectRequests,
  TrialClaim,
} from '@hibiscushill/routing';
import { z } from 'zod';

import { getDigestShape } from './request-content';

const FACTS_KIND = 'suspects.facts';
const CLAIM_KIND = 'suspects.claim';
const APPEND_TIMEOUT_MS = 1_000;
// A claim takes one append and one read of it. A caller waits for it, and can be refused at once.
const CLAIM_TIMEOUT_MS = 400;
const RETRY_INTERVAL_MS = 100;
// Facts that the log doesn't take are kept up to this number; the oldest are lost first.
const MAX_PENDING_FACTS = 1_024;
// A target that has crashed takes longer to start again. An answer within this time comes from the
// incarnation whose connection broke, even where the list of targets is out of date.
const MIN_RESTART_MS = 1_000;
// Old records may be dropped from the log, so the holder of the duty repeats what they say.
const REPEAT_INTERVAL_MS = 10_000;
const MAX_REPEATED = 128;

const Content = z.string() as unknown as z.ZodType<ContentDigest>;
const Id = z.string() as unknown as z.ZodType<RecordId>;
const Time = z.number() as unknown as z.ZodType<WallTime>;

const FactSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('broken'),
    content: Content,
    incarnation: z.string(),
    trial: Id.optional(),
  }),
  z.object({ type: z.literal('answered'), content: Content, trial: Id.optional() }),
  z.object({ type: z.literal('survived'), incarnation: z.string() }),
  z.object({ type: z.literal('trial-ended'), trial: Id }),
  z.object({
    type: z.literal('known'),
    suspect: z.object({
      content: Content,
      incarnations: z.array(z.string()),
      retrials: z.number(),
      lastBrokenAt: Time,
    }),
  }),
]) as unknown as z.ZodType<SuspectFact>;

const FactsSchema = z.object({ facts: z.array(FactSchema) });

const ClaimSchema = z.object({
  process: z.string() as unknown as z.ZodType<IncarnationId>,
  content: Content,
  service: z.string() as unknown as z.ZodType<ServiceId>,
  maxMs: z.number().positive(),
});

/** This process, the log, and what is exchanged. */
export interface SuspectExchangeOptions {
  readonly incarnation: IncarnationId;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly log: Log;
  /** The reader of the stream that has the exchanged records. */
  readonly tail: LogTail;
  readonly suspects: SuspectRequests;
  /** Whether this process repeats what old records say. */
  readonly isRepeating: () => boolean;
}

/** Publishes what this process observes of suspects, and applies what all processes observe. */
export class SuspectExchange {
  readonly #options: SuspectExchangeOptions;

  /** The shapes of the suspects' contents. */
  #shapes: ReadonlySet<string> = new Set();

  #pending: SuspectFact[] = [];

  #isWriting = false;

  #failedAt = -Infinity as MonoTime;

  #repeatedAt = -Infinity as MonoTime;

  /** When the connections of incarnations broke that may have crashed. */
  readonly #brokenAt = new Map<string, MonoTime>();

  /** This process's claims that it waits for, and whether they were granted. */
  readonly #claims = new Map<RecordId, boolean | undefined>();

  /** @param options - this process, the log, and what is exchanged */
  constructor(options: SuspectExchangeOptions) {
    this.#options = options;
    options.tail.subscribe((record) => this.#apply(record));
  }

  /** Whether a suspect has a certain shape; costs nothing while there is no suspect. */
  hasShape(shape: string): boolean {
    return this.#shapes.has(shape);
  }

  /** Whether a request is a suspect. */
  isSuspect(content: ContentDigest): boolean {
    return this.#options.suspects.has(content);
  }

  /** Decides how a request may be run now. */
  decide(content: ContentDigest): RunPermit {
    return this.#options.suspects.decide(content, this.#options.clock.wall());
  }

  /** Applies what this process has observed, and publishes it. */
  publish(fact: SuspectFact): void {
    this.#record(fact, this.#options.clock.wall());
    this.#pending.push(fact);
    if (this.#pending.length > MAX_PENDING_FACTS) this.#pending.shift();
    this.#write();
  }

  /**
   * Records that an incarnation of a target has answered a request. It has not crashed if the
   * request was sent after a connection to it broke.
   */
  recordAnswer(incarnation: string, sentAt: MonoTime): void {
    const brokenAt = this.#brokenAt.get(incarnation);
    if (brokenAt === undefined || sentAt < brokenAt) return;
    this.#brokenAt.delete(incarnation);
    if (sentAt - brokenAt < MIN_RESTART_MS) this.publish({ type: 'survived', incarnation });
  }

  /**
   * Claims to run a suspect alone.
   *
   * @returns the id of the trial; undefined if it wasn't granted in time
   */
  async claim(
    content: ContentDigest,
    service: ServiceId,
    maxMs: Millis,
  ): Promise<RecordId | undefined> {
    const { clock, metrics, log, tail, suspects, incarnation } = this.#options;
    if (!suspects.mayClaim(content, service, clock.wall())) return undefined;
    const id = createId<RecordId>();
    const payload = { process: incarnation, content, service, maxMs };
    this.#claims.set(id, undefined);
    const timeout = new AbortController();
    void clock.sleep(CLAIM_TIMEOUT_MS, timeout.signal).then(() => timeout.abort());
    const done = await log.append('usage', [{ id, kind: CLAIM_KIND, payload }], {
      timeoutMs: CLAIM_TIMEOUT_MS,
    });
    if (done.isOk()) await tail.waitFor(id, timeout.signal);
    else metrics.countRetry(done.error.code);
    timeout.abort();
    const isGranted = this.#claims.get(id) ?? false;
    this.#claims.delete(id);
    return isGranted ? id : undefined;
  }

  /** Publishes what could not be published yet, and repeats what is due; called repeatedly. */
  run(): void {
    const { clock, metrics, suspects, isRepeating } = this.#options;
    const now = clock.mono();
    metrics.gauge('suspect.requests', suspects.size);
    [...this.#brokenAt]
      .filter(([, brokenAt]) => now - brokenAt >= MIN_RESTART_MS)
      .forEach(([incarnation]) => this.#brokenAt.delete(incarnation));
    if (now - this.#failedAt >= RETRY_INTERVAL_MS) this.#write();
    if (now - this.#repeatedAt < REPEAT_INTERVAL_MS || !isRepeating()) return;
    this.#repeatedAt = now;
    const known = suspects.listKnown(MAX_REPEATED);
    this.#pending.push(...known.map((suspect) => ({ type: 'known', suspect }) as const));
    this.#write();
  }

  #write(): void {
    if (this.#isWriting || this.#pending.length === 0) return;
    this.#isWriting = true;
    void this.#append(this.#pending.splice(0)).finally(() => {
      this.#isWriting = false;
      if (this.#options.clock.mono() - this.#failedAt >= RETRY_INTERVAL_MS) this.#write();
    });
  }

  async #append(facts: readonly SuspectFact[]): Promise<void> {
    const { clock, metrics, log } = this.#options;
    const record = { id: createId<RecordId>(), kind: FACTS_KIND, payload: { facts } };
    const done = await log.append('usage', [record], { timeoutMs: APPEND_TIMEOUT_MS });
    if (done.isOk()) return;
    metrics.countRetry(done.error.code);
    this.#failedAt = clock.mono();
    // Facts that are in the log already change nothing when they are read again.
    this.#pending = [...facts, ...this.#pending].slice(-MAX_PENDING_FACTS);
  }

  #apply({ id, kind, payload, appendedAt }: LogRecord): void {
    if (kind === CLAIM_KIND) this.#applyClaim(id, payload, appendedAt);
    if (kind !== FACTS_KIND) return;
    const parsed = FactsSchema.safeParse(payload);
    if (parsed.success) parsed.data.facts.forEach((fact) => this.#record(fact, appendedAt));
  }

  #applyClaim(id: RecordId, payload: unknown, appendedAt: WallTime): void {
    const parsed = ClaimSchema.safeParse(payload);
    if (!parsed.success) return;
    const { process, ...claim } = parsed.data;
    const isGranted = this.#options.suspects.claim(
      { id, ...claim } satisfies TrialClaim,
      appendedAt,
    );
    if (process !== this.#options.incarnation) return;
    this.#options.logger.info('A claim to run a suspected request alone was read.', {
      ...claim,
      trial: id,
      isGranted,
    });
    if (this.#claims.has(id)) this.#claims.set(id, isGranted);
    // The request has been refused meanwhile, so that the trial would only keep others waiting.
    else if (isGranted) this.publish({ type: 'trial-ended', trial: id });
  }

  #record(fact: SuspectFact, at: WallTime): void {
    const { suspects, clock, metrics, logger } = this.#options;
    // A target that was broken earlier may have started again, and answers under the same name.
    const isRecent = Math.abs(clock.wall() - at) < MIN_RESTART_MS;
    if (fact.type === 'broken' && isRecent) this.#brokenAt.set(fact.incarnation, clock.mono());
    const change = suspects.record(fact, at);
    if (fact.type === 'survived') {
      metrics.count('suspect.target_survived');
      logger.info('A target whose connection broke has not crashed.', {
        incarnation: fact.incarnation,
      });
    }
    if (change !== undefined || fact.type === 'survived') {
      this.#shapes = suspects.listShapes(getDigestShape);
    }
    if (!change) return;
    metrics.count(`suspect.${change}`);
    const content = getContent(fact);
    logger.info(CHANGE_MESSAGES[change], {
      content,
      breaks: content === undefined ? undefined : suspects.countBreaks(content),
      ...(fact.type === 'broken' && { incarnation: fact.incarnation }),
    });
  }
}

const CHANGE_MESSAGES: Readonly<Record<SuspectChange, string>> = {
  suspected: 'A request is suspected of crashing its target.',
  refused: 'A request counts as one that crashes its targets.',
  cleared: 'A suspected request was answered completely.',
};

function getContent(fact: SuspectFact): ContentDigest | undefined {
  if (fact.type === 'known') return fact.suspect.content;
  return 'content' in fact ? fact.content : undefined;
}
