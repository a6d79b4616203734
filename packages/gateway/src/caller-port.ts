/** What the front door hands to the gateway, and what the gateway answers. */
import type {
  CodeName,
  Millis,
  MonoTime,
  RequestId,
  RunState,
  WeightVersion,
} from '@hibiscushill/base';

import type { ModelId } from './serving-config';
import type { ItemId, SubmissionId } from './submission';
import type { TargetAnswerHead } from './target-port';

/** A caller's request, read to its end. */
export interface CallerRequest {
  readonly id: RequestId;
  readonly method: string;
  readonly host: string;
  /** The path without its query. */
  readonly path: string;
  /** The path with its query, byte for byte. */
  readonly target: string;
  /** End-to-end headers, names and values in turn, without what the system sets itself. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly key: string | undefined;
  /** When the caller stops waiting; undefined when it didn't say. */
  readonly deadlineAt: MonoTime | undefined;
  readonly receivedAt: MonoTime;
  /** The number of the last event that a resuming caller has. */
  readonly resumeAfter: number | undefined;
}

/** An answer of the system's own. */
export interface OwnAnswer {
  readonly code: CodeName;
  readonly status: number;
  readonly run: RunState;
  readonly detail: string;
  /** When the caller should come back, in milliseconds. */
  readonly retryAfterMs: Millis | undefined;
}

/** The way back to one caller. */
export abstract class CallerReply {
  /** Whether the caller has closed its connection. */
  abstract readonly isGone: boolean;

  /** Calls a function when the caller closes its connection before the answer's end. */
  abstract onGone(handle: () => void): void;

  /** Answers with a target's whole answer. */
  abstract relay(head: TargetAnswerHead, body: Buffer): void;

  /** Begins to pass on a target's answer as it arrives. */
  abstract startRelay(head: TargetAnswerHead): void;

  /** Passes on a part; false when the caller reads more slowly than the target writes. */
  abstract write(chunk: Buffer): boolean;

  /** Ends an answer that was begun. */
  abstract end(): void;

  /** Ends an answer that was begun so that it can't be taken for whole. */
  abstract break(): void;

  /** Answers with an answer of the system's own. */
  abstract refuse(answer: OwnAnswer): void;
}

/** A scoring call that follows an item's text. */
export interface RewardSpec {
  readonly id: RequestId;
  readonly host: string;
  readonly path: string;
  /** Base64. */
  readonly body: string;
}

/** An item of a submission, as it came. */
export interface ItemSpec {
  readonly id: ItemId;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64. */
  readonly body: string;
  /** Prompt tokens and the most output tokens. */
  readonly tokens: number;
  /** Items of a group share their prompt; an item without one is a group of its own. */
  readonly group: string;
  readonly reward: RewardSpec | undefined;
  /** The caller's estimate of output tokens. */
  readonly expectedTokens: number | undefined;
}

/** Many items that are submitted at once and run later. */
export interface SubmissionSpec {
  readonly id: SubmissionId;
  readonly step: number | undefined;
  readonly model: ModelId | undefined;
  /** The oldest weight version that may make its tokens. */
  readonly leastVersion: WeightVersion;
  /** The groups after which its trainer goes on; undefined for all. */
  readonly wantedGroups: number | undefined;
  readonly items: readonly ItemSpec[];
}

/** A result at its position. */
export interface ItemResult {
  readonly item: ItemId;
  readonly state: 'complete' | 'dead';
  /** The data of all events, separated by line feeds. */
  readonly output: string;
  /** All weight versions that made an event of the output. */
  readonly versions: readonly WeightVersion[];
  /** The receipt of the reward call; undefined without one. */
  readonly score: string | undefined;
}

/** The results from a position on. */
export interface ResultPage {
  readonly total: number;
  readonly next: number;
  readonly results: readonly ItemResult[];
}

/** Either the wanted value or an answer of the system's own. */
export type Outcome<T> =
  { readonly isOk: true; readonly value: T } | { readonly isOk: false; readonly answer: OwnAnswer };

/** Which submission a call is about, and who calls. */
export interface SubmissionCall {
  readonly submission: SubmissionId;
  readonly key: string | undefined;
}

/** Serves callers. */
export abstract class CallerHandler {
  /** Whether this process should be sent callers. */
  abstract readonly isReady: boolean;

  /** Whether a request is a submission, so that its body is decoded as one. */
  abstract isSubmission(method: string, host: string, path: string): boolean;

  /** Serves one request; the reply is answered in the end. */
  abstract onRequest(req: CallerRequest, reply: CallerReply): void;

  /** Takes a submission; resolves when it is kept, or refused. */
  abstract submit(req: CallerRequest, spec: SubmissionSpec): Promise<Outcome<void>>;

  /** Reads results, waiting up to `waitMs` for one. */
  abstract readResults(
    call: SubmissionCall,
    after: number,
    waitMs: Millis,
  ): Promise<Outcome<ResultPage>>;

  /** Reads the body of an item that has no result yet. */
  abstract readBody(call: SubmissionCall, item: ItemId): Promise<Outcome<Uint8Array>>;

  /** Ends a submission. */
  abstract endSubmission(call: SubmissionCall): Promise<Outcome<void>>;
}
