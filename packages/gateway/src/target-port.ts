/** How the gateway calls a target, whatever the target's protocol. */
import type { Millis, RequestId, RunState, TeamId, WeightVersion } from '@hibiscushill/base';

import type { TargetEntry } from './target-directory';

/** A request to one target. */
export interface TargetCall {
  readonly target: TargetEntry;
  readonly method: string;
  /** The path with its query, byte for byte as the caller sent it. */
  readonly path: string;
  readonly host: string;
  /** End-to-end headers, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly id: RequestId;
  /** The time left, in milliseconds. */
  readonly deadlineMs: Millis;
  readonly team: TeamId | undefined;
  /** Whether it needs a connection on which nothing else was sent. */
  readonly isFresh?: boolean;
  /** The number of the last event that is known; the stream goes on after it. */
  readonly resumeAfter?: number;
  /** The only weight version under which the target may run the request. */
  readonly expectVersion?: WeightVersion;
}

/** The load that a target tells with an answer. */
export interface ToldLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** The head of a target's answer. */
export interface TargetAnswerHead {
  readonly status: number;
  /** End-to-end headers, names and values in turn. */
  readonly headers: readonly string[];
  /** The id of the request that the target says it answers. */
  readonly echo: RequestId | undefined;
  /** Whether the target says that the request has not run. */
  readonly isNotRun: boolean;
  /** The target's proof that it produced this answer. */
  readonly receipt: string | undefined;
  readonly load: ToldLoad | undefined;
  /** The weight version under which the stream starts. */
  readonly version: WeightVersion | undefined;
  readonly isEventStream: boolean;
}

/** Why a call brought no whole answer. */
export interface CallFailure {
  readonly run: RunState;
  readonly reason: string;
}

/** Takes the parts of a target's answer. Exactly one of `onEnd` and `onFailure` comes last. */
export abstract class TargetAnswerSink {
  abstract onHead(head: TargetAnswerHead): void;

  abstract onData(chunk: Buffer): void;

  abstract onEnd(): void;

  abstract onFailure(failure: CallFailure): void;
}

/** Ends a call by closing its connection, so that the target stops its work. */
export type AbortCall = () => void;

/** One event of a sample's stream. */
export interface StreamEvent {
  /** Rises by one from event to event. */
  readonly number: number;
  readonly data: string;
  /** The weight version from this event on, where it changes. */
  readonly version: WeightVersion | undefined;
}

/** Decodes a stream piece by piece. */
export abstract class EventReader {
  /**
   * Takes the next piece.
   *
   * @param chunk - bytes of the stream
   * @returns the events that are whole now
   */
  abstract feed(chunk: Buffer): StreamEvent[];
}

/** Calls targets. */
export abstract class TargetClient {
  /**
   * Sends a request.
   *
   * @param call - the request
   * @param sink - takes the answer
   * @returns ends the call early
   */
  abstract call(call: TargetCall, sink: TargetAnswerSink): AbortCall;

  /** Makes a decoder for one stream. */
  abstract createEventReader(): EventReader;
}
