/** Factories and fakes for the gateway's tests. */
import {
  type Clock,
  type Failure,
  type IncarnationId,
  type InstanceId,
  type ManualClock,
  Metrics,
  type Offset,
  RandomSource,
  type RequestId,
  type ServiceId,
  type SoftwareVersion,
  type TargetId,
  type TeamId,
  type WallTime,
  type WeightVersion,
  type ZoneId,
  createFailure,
  createLogger,
} from '@hibiscushill/base';
import {
  KeyedLog,
  type KeyedPage,
  type KeyedRecord,
  type KeyedSnapshot,
  LogTail,
  MemoryLog,
} from '@hibiscushill/log';
import { type ResultAsync, errAsync, okAsync } from 'neverthrow';
import { LimitShares, type ResponseEnd, SuspectRequests } from '@hibiscushill/routing';

import type { ItemSpec } from '../src/caller-port';
import { DeclaredOrigins } from '../src/declared-origins';
import { StreamExchange } from '../src/stream-exchange';
import { SuspectExchange } from '../src/suspect-exchange';
import type { TargetDirectory, TargetRegistration } from '../src/target-directory';
import { TargetLimiter } from '../src/target-limiter';
import type {
  ModelId,
  ServingConfig,
  ServingRoute,
  ServingService,
  ServingVersion,
} from '../src/serving-config';
import type { ItemId, SubmissionId, SubmissionTerms } from '../src/submission';
import {
  type CallFailure,
  EventReader,
  type StreamEvent,
  type TargetResponseHead,
  type TargetResponseSink,
  type TargetCall,
  TargetClient,
} from '../src/target-port';

export const MODEL = 'model-a' as ModelId;

export const SERVICE = 'engines' as ServiceId;

export const TEAM = 'team-a' as TeamId;

export const KEY = 'key-a';

export function createMetrics(): Metrics {
  return new Metrics({ prefix: 'test' });
}

export const logger = createLogger('test');

/** Creates the limiter of the only process. */
export function createLimiter(clock: Clock): TargetLimiter {
  const shares = new LimitShares({
    clock,
    process: 'process-a' as InstanceId,
    readAt: () => clock.mono(),
  });
  shares.setProcesses([]);
  return new TargetLimiter({ clock, shares, metrics: createMetrics(), logger });
}

/** Creates an exchange of suspects whose log is read by no process, so that no trial is granted. */
export function createSuspectExchange(clock: Clock): SuspectExchange {
  const log = new MemoryLog({ clock });
  return new SuspectExchange({
    incarnation: 'process-a.1' as IncarnationId,
    clock,
    metrics: createMetrics(),
    logger,
    log,
    tail: new LogTail({ log, clock, stream: 'usage', random: new RandomSource(1) }),
    suspects: new SuspectRequests(),
    isRepeating: () => false,
  });
}

/** A keyed log in memory, which can be made to fail. */
export class MemoryKeyedLog extends KeyedLog {
  override readonly name = 'keyed.test';

  isDown = false;

  readonly #records = new Map<string, KeyedRecord>();

  #end = 0 as Offset;

  override readSnapshot(): ResultAsync<KeyedSnapshot, Failure> {
    return this.#run(() => ({ records: [...this.#records.values()], end: this.#end }));
  }

  override read(from: Offset): ResultAsync<KeyedPage, Failure> {
    return this.#run(() => ({ records: [], next: from, end: from }));
  }

  override append(record: KeyedRecord, at?: Offset): ResultAsync<void, Failure> {
    if (at !== undefined && at !== this.#end) {
      return errAsync(createFailure('platform_refused', { detail: 'the log ends elsewhere' }));
    }
    return this.#run(() => {
      this.#end = (this.#end + 1) as Offset;
      if (record.value === undefined) this.#records.delete(record.key);
      else this.#records.set(record.key, record);
    });
  }

  #run<T>(execute: () => T): ResultAsync<T, Failure> {
    if (this.isDown) return errAsync(createFailure('platform_down', { detail: 'is down' }));
    return okAsync(execute());
  }
}

/** Creates the exchange of streams of the only process, for some routes. */
export function createStreamExchange(
  clock: Clock,
  directory: TargetDirectory,
  routes: readonly ServingRoute[] = [],
): StreamExchange {
  const log = new MemoryLog({ clock });
  const metrics = createMetrics();
  const origins = new DeclaredOrigins({
    clock,
    metrics,
    logger,
    log: new MemoryKeyedLog(),
    directory,
    listRoutes: () => routes,
    isWithdrawing: () => false,
  });
  const tail = new LogTail({ log, clock, stream: 'usage', random: new RandomSource(1) });
  return new StreamExchange({ clock, metrics, logger, log, tail, origins });
}

export function version(number: number): WeightVersion {
  return number as WeightVersion;
}

export function createTarget(
  id: string,
  changes: Partial<TargetRegistration> = {},
): TargetRegistration {
  return {
    id: id as TargetId,
    service: SERVICE,
    address: '127.0.0.1:1',
    zone: 'zone-a' as ZoneId,
    slots: 8,
    isDraining: false,
    coldLeftMs: 0,
    software: '1.4.0' as SoftwareVersion,
    versions: new Map([[MODEL, version(1)]]),
    startedAt: 1 as WallTime,
    heartbeat: 1,
    ...changes,
  };
}

export function createRoute(changes: Partial<ServingRoute> = {}): ServingRoute {
  return {
    name: 'route-a',
    host: 'a.example',
    pathPrefix: '/a/',
    kind: 'idempotent',
    backends: [{ service: SERVICE, weight: 1 }],
    timeoutMs: 800,
    goalMs: 200,
    maxRuns: 2,
    priority: 0,
    isPublic: false,
    isResumable: false,
    isSingleVersion: false,
    resultsDueMs: 7_500,
    retentionMs: 40_000,
    ...changes,
  };
}

export function createConfig(
  number: number,
  routes: readonly ServingRoute[] = [createRoute()],
  keys: readonly string[] = [KEY],
): ServingConfig {
  const service: ServingService = {
    name: SERVICE,
    models: [MODEL],
  };
  return {
    version: number as ServingVersion,
    routes,
    services: [service],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    teams: [{ name: TEAM, keys, priority: undefined }],
  };
}

export function createItem(id: string, changes: Partial<ItemSpec> = {}): ItemSpec {
  return {
    id: id as ItemId,
    path: '/a/1',
    headers: { Model: MODEL },
    body: 'AAAA',
    tokens: 100,
    group: 'group-a',
    reward: undefined,
    expectedTokens: undefined,
    ...changes,
  };
}

export function createTerms(
  id: string,
  itemCount: number,
  changes: Partial<SubmissionTerms> = {},
): SubmissionTerms {
  return {
    id: id as SubmissionId,
    team: TEAM,
    host: 'a.example',
    path: '/a/1',
    step: 1,
    model: MODEL,
    leastVersion: version(1),
    wantedGroups: undefined,
    submittedAt: 0 as WallTime,
    dueMs: 7_500,
    retentionMs: 40_000,
    itemCount,
    ...changes,
  };
}

export function createHead(
  id: RequestId,
  changes: Partial<TargetResponseHead> = {},
): TargetResponseHead {
  return {
    status: 200,
    headers: [],
    echo: id,
    hasNotRun: false,
    receipt: 'receipt',
    load: undefined,
    version: undefined,
    isEventStream: false,
    ...changes,
  };
}

/** The end of a response whose framing states it. */
export const DELIMITED: ResponseEnd = { isDelimited: true, stream: undefined };

/** A call to a target, to which the test responds. */
export class RecordedCall {
  readonly call: TargetCall;

  readonly sink: TargetResponseSink;

  isAborted = false;

  constructor(call: TargetCall, sink: TargetResponseSink) {
    this.call = call;
    this.sink = sink;
  }

  respond(body: string, changes: Partial<TargetResponseHead> = {}): void {
    this.sink.onHead(createHead(this.call.id, changes));
    this.sink.onData(Buffer.from(body));
    this.sink.onEnd(DELIMITED);
  }

  stream(first: number, events: readonly string[], head: Partial<TargetResponseHead> = {}): void {
    this.sink.onHead(
      createHead(this.call.id, { isEventStream: true, version: version(1), ...head }),
    );
    this.push(first, events);
  }

  push(first: number, events: readonly string[]): void {
    const numbered = events.map((data, index) => ({ number: first + index, data }));
    this.sink.onData(Buffer.from(JSON.stringify(numbered)));
  }

  fail(failure: CallFailure): void {
    this.sink.onFailure(failure);
  }
}

class JsonEventReader extends EventReader {
  override feed(chunk: Buffer): StreamEvent[] {
    const events = JSON.parse(chunk.toString()) as Omit<StreamEvent, 'version'>[];
    return events.map((event) => ({ version: undefined, ...event }));
  }
}

/** A target client that records its calls; the test responds to them. */
export class ManualClient extends TargetClient {
  readonly calls: RecordedCall[] = [];

  override call(call: TargetCall, sink: TargetResponseSink): () => void {
    const open = new RecordedCall(call, sink);
    this.calls.push(open);
    return () => {
      open.isAborted = true;
    };
  }

  override createEventReader(): EventReader {
    return new JsonEventReader();
  }

  /** The calls that were not aborted. */
  get openCalls(): RecordedCall[] {
    return this.calls.filter((one) => !one.isAborted);
  }
}

/** Lets pending callbacks run, without advancing a clock. */
export async function runPendingCallbacks(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Advances a clock in small steps, and lets pending callbacks run after each. */
export async function advance(clock: ManualClock, ms: number, stepMs = 10): Promise<void> {
  for (let passed = 0; passed < ms; passed += stepMs) {
    clock.advance(stepMs);
    await runPendingCallbacks();
  }
}
