/** One run of an item: a streamed generation request at one engine. */
import type { Clock, Logger, Millis, MonoTime, RequestId, WeightVersion } from '@hibiscushill/base';

import {
  type ResponseEnd,
  describeMismatch,
  findPartialEvent,
  findTruncation,
  judgeAnswer,
} from '@hibiscushill/routing';

import type { TargetRegistration } from './target-directory';
import type { EngineTracker } from './engine-tracker';
import type { ItemTask } from './item-task';
import type { ModelId } from './serving-config';
import { formatItemId } from './submission';
import {
  type AbortCall,
  type CallFailure,
  type EventReader,
  TargetResponseSink,
  type TargetResponseHead,
  type TargetCall,
  type TargetClient,
} from './target-port';

// The engine has another incarnation or weight version than the request expects.
const STATUS_MISDIRECTED = 421;
// The request can't run on any engine.
const STATUS_UNPROCESSABLE = 422;
const STATUS_SERVER_ERROR = 500;
// The deadline of a run; its item then goes on in another run.
const RUN_TIMEOUT_MS = 10_000;
// An idle engine sends its first event within a few tens of milliseconds; after this long its
// connection or its machine is considered lost.
const FIRST_EVENT_TIMEOUT_MS = 1_000;
// Events come every few tens of milliseconds; a stream counts as broken once it has been silent for
// this many average intervals between events, and for at least the minimum.
const SILENCE_INTERVALS = 8;
const MIN_SILENCE_MS = 450;
// Several times the largest output with its framing. What an engine in trouble sends may have no end.
const MAX_RUN_BYTES = 2_000_000;
// The time between events is averaged over this many of them.
const EVENTS_PER_SPEED_SAMPLE = 6;

/** How a run ended; part of metric names and log fields. */
export type RunOutcome =
  | 'complete'
  | 'refused'
  | 'wrong-version'
  | 'server-error'
  | 'impossible'
  | 'broken'
  | 'silent'
  | 'cancelled';

/** The outcomes after which the engine is left out for a time. */
const ENGINE_FAILURES: ReadonlySet<RunOutcome> = new Set<RunOutcome>([
  'broken',
  'silent',
  'server-error',
]);

/** The item, the engine, and what the run reports to. */
export interface ItemRunOptions {
  readonly clock: Clock;
  readonly client: TargetClient;
  readonly engineTracker: EngineTracker;
  readonly logger: Logger;
  readonly engine: TargetRegistration;
  readonly model: ModelId;
  readonly task: ItemTask;
  readonly call: TargetCall;
  readonly onEnd: (run: ItemRun, outcome: RunOutcome) => void;
}

/** Reads one response stream and adds its events to the item's output. */
export class ItemRun extends TargetResponseSink {
  readonly engine: TargetRegistration;

  readonly task: ItemTask;

  readonly model: ModelId;

  readonly #options: ItemRunOptions;

  readonly #reader: EventReader;

  readonly #abort: AbortCall;

  readonly #startedAt: MonoTime;

  #head: TargetResponseHead | undefined;

  #version: WeightVersion | undefined;

  #lastEventAt: MonoTime;

  #speedSampleStartedAt: MonoTime;

  #events = 0;

  #bytes = 0;

  /** Whether the framing of its response stated its end; undefined if it didn't end in order. */
  #isDelimited: boolean | undefined;

  #hasEnded = false;

  /** @param options - the item, the engine and the call */
  constructor(options: ItemRunOptions) {
    super();
    this.#options = options;
    this.engine = options.engine;
    this.task = options.task;
    this.model = options.model;
    this.#reader = options.client.createEventReader();
    this.#startedAt = options.clock.mono();
    this.#lastEventAt = this.#startedAt;
    this.#speedSampleStartedAt = this.#startedAt;
    this.#abort = options.client.call(options.call, this);
  }

  /** Whether the stream has been silent for so long that it counts as broken. */
  get isSilent(): boolean {
    const silentMs = this.#options.clock.mono() - this.#lastEventAt;
    if (this.#events === 0) return silentMs > FIRST_EVENT_TIMEOUT_MS;
    const averageMs = this.#options.engineTracker.msPerEventOf(this.engine) ?? 0;
    return silentMs > Math.max(MIN_SILENCE_MS, SILENCE_INTERVALS * averageMs);
  }

  /** Ends the run without counting it as a failure of the engine. */
  cancel(): void {
    this.#end('cancelled');
  }

  /** Ends the run because the engine sent nothing in time. */
  timeOut(): void {
    this.#end('silent');
  }

  override onHead(head: TargetResponseHead): void {
    if (this.#hasEnded) return;
    const kind = judgeAnswer(head, this.#options.call.id);
    if (kind !== 'own') {
      this.#end('broken', describeMismatch(head, kind));
      return;
    }
    this.#head = head;
    this.#version = head.version;
    const slowdown = head.load?.slowdown;
    if (slowdown !== undefined) {
      this.#options.engineTracker.recordReportsSpeed(this.engine);
      this.#options.engineTracker.recordSlowdown(this.engine, slowdown);
    }
    if (head.version !== undefined) {
      this.#options.engineTracker.recordVersion(this.engine, this.model, head.version);
    }
    if (head.status < 300) {
      if (!head.isEventStream) this.#end('broken', 'the response is not an event stream');
      return;
    }
    const { expectVersion } = this.#options.call;
    const isOtherVersion = head.version !== undefined && head.version !== expectVersion;
    if (head.status === STATUS_MISDIRECTED && !isOtherVersion) {
      this.#options.engineTracker.recordMisdirected(this.engine);
    }
    const outcome = classifyErrorStatus(head);
    this.#end(outcome, `status ${head.status}`);
  }

  override onData(chunk: Buffer): void {
    if (this.#hasEnded) return;
    this.#bytes += chunk.length;
    if (this.#bytes > MAX_RUN_BYTES) {
      this.#end('broken', 'the response is too large');
      return;
    }
    for (const event of this.#reader.feed(chunk)) {
      if (this.#hasEnded) return;
      this.#handleEvent(event);
    }
  }

  override onEnd(end: ResponseEnd): void {
    if (this.#hasEnded) return;
    this.#isDelimited = end.isDelimited;
    const isResumed = this.#options.call.resumeAfter !== undefined;
    const truncation = findTruncation(end, isResumed) ?? findPartialEvent(end.stream);
    if (truncation !== undefined) {
      this.#end('broken', truncation);
      return;
    }
    const isComplete = this.#head !== undefined && this.task.hasOutput;
    this.#end(
      isComplete ? 'complete' : 'broken',
      isComplete ? undefined : 'the response is not a complete event stream',
    );
  }

  override onFailure(failure: CallFailure): void {
    this.#end('broken', failure.reason);
  }

  #handleEvent(event: Parameters<ItemTask['addEvent']>[0]): void {
    this.#lastEventAt = this.#options.clock.mono();
    this.#measureSpeed();
    this.#events += 1;
    if (event.version !== undefined) {
      this.#version = event.version;
      this.#options.engineTracker.recordVersion(this.engine, this.model, event.version);
    }
    if (this.#version === undefined) {
      this.#end('broken', 'the stream states no weight version');
      return;
    }
    const result = this.task.addEvent(event, this.#version, this.engine.software);
    if (result === 'added' || result === 'repeated') return;
    if (result === 'gap') {
      this.#end('broken', `event ${event.number} does not follow the last one`);
      return;
    }
    this.task.restart();
    this.#end('wrong-version', result);
  }

  #measureSpeed(): void {
    if (this.#events % EVENTS_PER_SPEED_SAMPLE !== 0) return;
    if (this.#events > 0) {
      const tookMs: Millis = this.#lastEventAt - this.#speedSampleStartedAt;
      this.#options.engineTracker.recordSpeed(this.engine, tookMs / EVENTS_PER_SPEED_SAMPLE);
    }
    this.#speedSampleStartedAt = this.#lastEventAt;
  }

  #end(outcome: RunOutcome, reason?: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    const { clock, engineTracker, logger, onEnd } = this.#options;
    if (ENGINE_FAILURES.has(outcome)) {
      engineTracker.recordFailure(this.engine, outcome === 'broken');
    }
    if (outcome === 'complete') engineTracker.recordSuccess(this.engine);
    if (outcome !== 'complete') this.#abort();
    logger.info('A run ended.', {
      id: formatItemId(this.task.submission.terms.id, this.task.spec.id),
      target: this.engine.id,
      outcome,
      reason,
      isDelimited: this.#isDelimited,
      events: this.#events,
      expectedTokens: this.task.spec.expectedTokens,
      version: this.#version,
      software: this.engine.software,
      tookMs: Math.round(clock.mono() - this.#startedAt),
    });
    onEnd(this, outcome);
  }
}

/**
 * Creates the request of an item's next run, which resumes its output.
 *
 * @param task - the item
 * @param engine - the engine that is to run it
 * @param expectVersion - the only weight version under which the engine may run it
 */
export function createItemCall(
  { submission, spec, output }: ItemTask,
  engine: TargetRegistration,
  expectVersion: WeightVersion,
): TargetCall {
  const { host, team } = submission.terms;
  const { lastNumber } = output;
  return {
    target: engine,
    method: 'POST',
    path: spec.path,
    host,
    headers: Object.entries(spec.headers).flat(),
    body: Buffer.from(spec.body, 'base64'),
    id: spec.id as string as RequestId,
    deadlineMs: RUN_TIMEOUT_MS,
    team,
    expectVersion,
    ...(lastNumber !== undefined && { resumeAfter: lastNumber }),
  };
}

function classifyErrorStatus(head: TargetResponseHead): RunOutcome {
  if (head.status === STATUS_MISDIRECTED) return 'wrong-version';
  if (head.hasNotRun) return 'refused';
  if (head.status === STATUS_UNPROCESSABLE) return 'impossible';
  return head.status === STATUS_SERVER_ERROR ? 'server-error' : 'broken';
}
