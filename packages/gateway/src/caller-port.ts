/** The port through which the HTTP server passes callers' requests to the gateway. */
import type {
  CodeName,
  ContentDigest,
  Millis,
  MonoTime,
  RequestId,
  RunState,
  WeightVersion,
} from '@hibiscushill/base';

import type { ModelId } from './serving-config';
import type { ItemId, SubmissionId } from './submission';
import type { TargetResponseHead } from './target-port';

/** A caller's complete request. */
export interface CallerRequest {
  readonly id: RequestId;
  readonly method: string;
  readonly host: string;
  /** The path without its query. */
  readonly path: string;
  /** The path with its query, byte for byte as sent. */
  readonly target: string;
  /** End-to-end headers, names and values in turn, without those that the gateway sets itself. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly key: string | undefined;
  /** When the caller stops waiting; undefined if it doesn't state it. */
  readonly deadlineAt: MonoTime | undefined;
  readonly receivedAt: MonoTime;
  /**
   * The number of the last event that the caller of a resumed stream has; undefined for a new one.
   */
  readonly resumeAfter: number | undefined;
  /**
   * The request that brought the first event of the resumed stream; undefined if the caller names
   * none.
   */
  readonly resumes: RequestId | undefined;
}

/** A response of the gateway itself, rather than of a target. */
export interface GatewayAnswer {
  readonly code: CodeName;
  readonly status: number;
  readonly run: RunState;
  readonly detail: string;
  /** After what time the caller should retry; undefined if it should not. */
  readonly retryAfterMs: Millis | undefined;
  /** What the request consists of, for the log; stated where it may be what crashes targets. */
  readonly content?: ContentDigest | undefined;
}

/** The response to one caller. */
export abstract class CallerReply {
  /** Whether the caller has closed its connection. */
  abstract readonly isDisconnected: boolean;

  /** Registers a function that is called if the caller disconnects before the response's end. */
  abstract onDisconnected(handle: () => void): void;

  /**
   * Sends a target's complete response.
   *
   * @param onSent - called when the body is no longer needed, also if it wasn't sent
   */
  abstract sendResponse(head: TargetResponseHead, body: Buffer, onSent: () => void): void;

  /** Starts to stream a target's response; {@link write} sends its body. */
  abstract startResponse(head: TargetResponseHead): void;

  /**
   * Sends a part of the body; returns false if the caller reads more slowly than the target writes.
   *
   * @param onSent - called when the part is no longer needed, also if it wasn't sent
   */
  abstract write(chunk: Buffer, onSent?: () => void): boolean;

  /** Registers a function that is called when a further part can be written after `false`. */
  abstract onWritable(handle: () => void): void;

  /** Completes a streamed response. */
  abstract end(): void;

  /** Aborts a streamed response, so that the caller can't mistake it for complete. */
  abstract abort(): void;

  /** Sends a response of the gateway itself. */
  abstract refuse(answer: GatewayAnswer): void;
}

/** A request to a scoring service, sent when an item's output is complete. */
export interface RewardSpec {
  readonly id: RequestId;
  readonly host: string;
  readonly path: string;
  /** Base64. */
  readonly body: string;
}

/** An item of a submission: a request to generate one output. */
export interface ItemSpec {
  readonly id: ItemId;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64. */
  readonly body: string;
  /** The number of prompt tokens plus the maximum of output tokens. */
  readonly tokens: number;
  /** Items of a group share their prompt. An item that names none is a group of its own. */
  readonly group: string;
  readonly reward: RewardSpec | undefined;
  /** The caller's estimate of output tokens. */
  readonly expectedTokens: number | undefined;
}

/** A batch of items, accepted at once and run later; usually one step of a trainer. */
export interface SubmissionSpec {
  readonly id: SubmissionId;
  readonly step: number | undefined;
  readonly model: ModelId | undefined;
  /** The oldest weight version that may generate its outputs. */
  readonly leastVersion: WeightVersion;
  /** How many groups the trainer needs before it goes on; undefined for all. */
  readonly wantedGroups: number | undefined;
  readonly items: readonly ItemSpec[];
}

/** The result of an item. */
export interface ItemResult {
  readonly item: ItemId;
  /** `dead` if the item was abandoned after failures or because its route was withdrawn. */
  readonly state: 'complete' | 'dead';
  /** The data of all events, separated by line feeds; empty if the item was abandoned. */
  readonly output: string;
  /** All weight versions that generated an event of the output. */
  readonly versions: readonly WeightVersion[];
  /** The receipt of the scoring call; undefined without one. */
  readonly score: string | undefined;
}

/** A page of a submission's results, in the order of their positions. */
export interface ResultPage {
  /** How many items the submission has. */
  readonly total: number;
  /** The position after the page's last result. */
  readonly next: number;
  readonly results: readonly ItemResult[];
}

/** The value of a call, or the response that refuses it. */
export type Outcome<T> =
  | { readonly isOk: true; readonly value: T }
  | { readonly isOk: false; readonly answer: GatewayAnswer };

/** The submission that a call is about, and the key of its caller. */
export interface SubmissionCall {
  readonly submission: SubmissionId;
  readonly key: string | undefined;
}

/** What can be told of a request before its body has arrived. */
export interface Screening {
  /** Why it will be refused whatever its body is; undefined if it may be served. */
  readonly refusal: GatewayAnswer | undefined;
  /** When it times out; undefined if nothing bounds it. */
  readonly endsAt: MonoTime | undefined;
}

/** Handles callers' requests. */
export abstract class CallerHandler {
  /** Whether load balancers should send callers to this process. */
  abstract readonly isReady: boolean;

  /** Whether a request is a submission, whose body must be decoded for {@link submit}. */
  abstract isSubmission(method: string, host: string, path: string): boolean;

  /**
   * Tells what becomes of a request by its head.
   *
   * @param req - the request, whose body is empty
   * @param bodyBytes - how much its body will have at least
   */
  abstract screen(req: CallerRequest, bodyBytes: number): Screening;

  /** Counts and logs a refusal by which a request has ended. */
  abstract recordRefusal(req: CallerRequest, answer: GatewayAnswer): void;

  /** Handles a request other than a submission, and sends its response through the reply. */
  abstract onRequest(req: CallerRequest, reply: CallerReply): void;

  /** Accepts a submission; resolves when it is stored or refused. */
  abstract submit(req: CallerRequest, spec: SubmissionSpec): Promise<Outcome<void>>;

  /** Reads the results after a position, and waits up to `waitMs` if there are none. */
  abstract readResults(
    call: SubmissionCall,
    after: number,
    waitMs: Millis,
  ): Promise<Outcome<ResultPage>>;

  /** Reads the request body of an item that has no result yet, as Base64. */
  abstract readBody(call: SubmissionCall, item: ItemId): Promise<Outcome<string>>;

  /** Ends a submission, so that its remaining items aren't run. */
  abstract endSubmission(call: SubmissionCall): Promise<Outcome<void>>;
}
