/** The port through which the gateway calls targets, whatever their protocol. */
import type { Millis, RequestId, RunState, TeamId, WeightVersion } from '@hibiscushill/base';

import type { ResponseEnd } from '@hibiscushill/routing';

import type { TargetRegistration } from './target-directory';

export type { ResponseEnd, StreamEnd } from '@hibiscushill/routing';

/** A request to one target. */
export interface TargetCall {
  readonly target: TargetRegistration;
  readonly method: string;
  /** The path with its query, byte for byte as the caller sent it. */
  readonly path: string;
  readonly host: string;
  /** End-to-end headers, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array | undefined;
  readonly id: RequestId;
  /** The time left until the deadline. */
  readonly deadlineMs: Millis;
  readonly team: TeamId | undefined;
  /** Whether it needs a new connection. */
  readonly isFresh?: boolean;
  /** The number of the last known event, after which the stream resumes. */
  readonly resumeAfter?: number;
  /** The only weight version under which the target may run the request. */
  readonly expectVersion?: WeightVersion;
}

/** The load that a target reports with a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How many times as long as usual work takes at the moment; undefined if it isn't stated. */
  readonly slowdown?: number;
}

/** The status and headers of a target's response. */
export interface TargetResponseHead {
  readonly status: number;
  /** End-to-end headers, names and values in turn. */
  readonly headers: readonly string[];
  /** The id of the request that the target states it responds to. */
  readonly echo: RequestId | undefined;
  /** Whether the target states that the request has not run. */
  readonly hasNotRun: boolean;
  /** The target's proof that it produced this response. */
  readonly receipt: string | undefined;
  readonly load: ReportedLoad | undefined;
  /** The weight version with which the stream starts. */
  readonly version: WeightVersion | undefined;
  readonly isEventStream: boolean;
}

/** Why a call ended without a complete response. */
export interface CallFailure {
  readonly run: RunState;
  readonly reason: string;
}

/** Holds back the data of a response while its receiver can't take more. */
export interface ResponseFlow {
  /** Reads no further; data that has arrived may still be passed on. */
  pause(): void;

  resume(): void;
}

/**
 * Receives the parts of a target's response. Exactly one of `onEnd` and `onFailure` is called, as
 * the last.
 */
export abstract class TargetResponseSink {
  abstract onHead(head: TargetResponseHead, flow?: ResponseFlow): void;

  abstract onData(chunk: Buffer): void;

  /** The response has ended, without an error of its connection. */
  abstract onEnd(end: ResponseEnd): void;

  abstract onFailure(failure: CallFailure): void;
}

/** Ends a call by closing its connection, upon which the target stops the request. */
export type AbortCall = () => void;

/** One event of a response stream. */
export interface StreamEvent {
  /** Consecutive within a stream. */
  readonly number: number;
  readonly data: string;
  /** The weight version from this event on; undefined if it is unchanged. */
  readonly version: WeightVersion | undefined;
}

/** Decodes a response stream incrementally. */
export abstract class EventReader {
  /**
   * Decodes the next chunk.
   *
   * @param chunk - the next bytes of the stream
   * @returns the events that it completes
   */
  abstract feed(chunk: Buffer): StreamEvent[];
}

/** Calls targets. */
export abstract class TargetClient {
  /**
   * Sends a request.
   *
   * @param call - the request
   * @param sink - receives the response
   * @returns a function that ends the call early
   */
  abstract call(call: TargetCall, sink: TargetResponseSink): AbortCall;

  /** Creates a decoder for one stream. */
  abstract createEventReader(): EventReader;
}
