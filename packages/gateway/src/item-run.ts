/** One stream of an item at an engine. */
import type { Clock, Logger, Millis, MonoTime, WeightVersion } from '@hibiscushill/base';

import type { TargetEntry } from './target-directory';
import type { Engines } from './engine-tracker';
import type { ItemTask } from './item-task';
import type { ModelId } from './serving-config';
import { describeItem } from './submission';
import {
  type AbortCall,
  type CallFailure,
  type EventReader,
  TargetAnswerSink,
  type TargetAnswerHead,
  type TargetCall,
  type TargetClient,
} from './target-port';

const STATUS_MISDIRECTED = 421;
const STATUS_IMPOSSIBLE = 422;
const STATUS_ERROR = 500;
// A target that runs nothing else answers within a few tens of milliseconds; more than this and
// its connection or its machine is taken for gone.
const FIRST_EVENT_MS = 1_000;
// Events come every few tens of milliseconds; a stream is taken for dead after this many usual
// pauses, and after at least this long.
const SILENT_PAUSES = 8;
const LEAST_SILENT_MS = 450;
// The speed of a stream is read over so many events.
const SPEED_EVENTS = 6;

/** How a run ended. */
export type RunOutcome =
  | 'complete'
  | 'refused'
  | 'wrong-version'
  | 'server-error'
  | 'impossible'
  | 'broken'
  | 'silent'
  | 'cancelled';

const FAILURES: ReadonlySet<RunOutcome> = new Set<RunOutcome>(['broken', 'silent', 'server-error']);

/** What a run needs. */
export interface ItemRunOptions {
  readonly clock: Clock;
  readonly client: TargetClient;
  readonly engines: Engines;
  readonly logger: Logger;
  readonly engine: TargetEntry;
  readonly model: ModelId;
  readonly task: ItemTask;
  readonly call: TargetCall;
  readonly onEnd: (run: ItemRun, outcome: RunOutcome) => void;
}

/** Follows one stream and adds its events to the item's text. */
export class ItemRun extends TargetAnswerSink {
  readonly engine: TargetEntry;

  readonly task: ItemTask;

  readonly model: ModelId;

  readonly #options: ItemRunOptions;

  readonly #reader: EventReader;

  readonly #abort: AbortCall;

  readonly #startedAt: MonoTime;

  #head: TargetAnswerHead | undefined;

  #version: WeightVersion | undefined;

  #heardAt: MonoTime;

  #measuredAt: MonoTime;

  #events = 0;

  #isOver = false;

  /** @param options - the item, the engine and the call */
  constructor(options: ItemRunOptions) {
    super();
    this.#options = options;
    this.engine = options.engine;
    this.task = options.task;
    this.model = options.model;
    this.#reader = options.client.createEventReader();
    this.#startedAt = options.clock.mono();
    this.#heardAt = this.#startedAt;
    this.#measuredAt = this.#startedAt;
    this.#abort = options.client.call(options.call, this);
  }

  /** Whether the stream has been silent for so long that it is taken for dead. */
  get isSilent(): boolean {
    const silentMs = this.#options.clock.mono() - this.#heardAt;
    if (this.#events === 0) return silentMs > FIRST_EVENT_MS;
    const usualMs = this.#options.engines.msPerEvent(this.engine) ?? 0;
    return silentMs > Math.max(LEAST_SILENT_MS, SILENT_PAUSES * usualMs);
  }

  /** Ends the stream. */
  cancel(): void {
    this.#end('cancelled');
  }

  /** Ends a stream that kept silent. */
  abandon(): void {
    this.#end('silent');
  }

  override onHead(head: TargetAnswerHead): void {
    if (this.#isOver) return;
    if (head.echo !== undefined && head.echo !== this.#options.call.id) {
      this.#end('broken', 'the answer belongs to another request');
      return;
    }
    this.#head = head;
    this.#version = head.version;
    if (head.version !== undefined) {
      this.#options.engines.learnVersion(this.engine, this.model, head.version);
    }
    if (head.status < 300) return;
    const outcome = readRefusal(head);
    this.#end(outcome, `status ${head.status}`);
  }

  override onData(chunk: Buffer): void {
    if (this.#isOver) return;
    for (const event of this.#reader.feed(chunk)) {
      if (this.#isOver) return;
      this.#takeEvent(event);
    }
  }

  override onEnd(): void {
    if (this.#isOver) return;
    const isWhole = this.#head?.isEventStream === true && this.task.isBegun;
    this.#end(isWhole ? 'complete' : 'broken', isWhole ? undefined : 'no event stream');
  }

  override onFailure(failure: CallFailure): void {
    this.#end('broken', failure.reason);
  }

  #takeEvent(event: Parameters<ItemTask['take']>[0]): void {
    this.#heardAt = this.#options.clock.mono();
    this.#measureSpeed();
    this.#events += 1;
    if (event.version !== undefined) {
      this.#version = event.version;
      this.#options.engines.learnVersion(this.engine, this.model, event.version);
    }
    if (this.#version === undefined) {
      this.#end('broken', 'the stream names no weight version');
      return;
    }
    const verdict = this.task.take(event, this.#version);
    if (verdict === 'taken' || verdict === 'repeated') return;
    if (verdict === 'gap') {
      this.#end('broken', `event ${event.number} doesn't follow`);
      return;
    }
    this.task.restart();
    this.#end('wrong-version', verdict);
  }

  #measureSpeed(): void {
    if (this.#events % SPEED_EVENTS !== 0) return;
    if (this.#events > 0) {
      const tookMs: Millis = this.#heardAt - this.#measuredAt;
      this.#options.engines.takeSpeed(this.engine, tookMs / SPEED_EVENTS);
    }
    this.#measuredAt = this.#heardAt;
  }

  #end(outcome: RunOutcome, reason?: string): void {
    if (this.#isOver) return;
    this.#isOver = true;
    const { clock, engines, logger, onEnd } = this.#options;
    if (FAILURES.has(outcome)) engines.takeFailure(this.engine);
    if (outcome === 'complete') engines.takeSuccess(this.engine);
    if (outcome !== 'complete') this.#abort();
    logger.info('A run ended.', {
      id: describeItem(this.task.submission.terms.id, this.task.spec.id),
      target: this.engine.id,
      outcome,
      reason,
      events: this.#events,
      expectedTokens: this.task.spec.expectedTokens,
      version: this.#version,
      tookMs: Math.round(clock.mono() - this.#startedAt),
    });
    onEnd(this, outcome);
  }
}

function readRefusal(head: TargetAnswerHead): RunOutcome {
  if (head.status === STATUS_MISDIRECTED) return 'wrong-version';
  if (head.isNotRun) return 'refused';
  if (head.status === STATUS_IMPOSSIBLE) return 'impossible';
  return head.status === STATUS_ERROR ? 'server-error' : 'broken';
}
