/** Branded identifiers: strings and numbers that can't be mistaken for one another. */
import { randomUUID } from 'node:crypto';

declare const brand: unique symbol;

/** A value of type `T` that only counts as a `B`. */
export type Brand<T, B extends string> = T & { readonly [brand]: B };

/** A customer whose traffic is admitted, limited and billed together. */
export type TeamId = Brand<string, 'TeamId'>;

/** The public part of a caller's key. */
export type KeyId = Brand<string, 'KeyId'>;

/** A service that callers reach under `/s/{service}/`. */
export type ServiceId = Brand<string, 'ServiceId'>;

/** A back end with one agent beside it. */
export type TargetId = Brand<string, 'TargetId'>;

/** A machine that runs one of the system's processes. */
export type InstanceId = Brand<string, 'InstanceId'>;

/** One start of a process. A restart has a new one. */
export type IncarnationId = Brand<string, 'IncarnationId'>;

/** An availability zone. */
export type ZoneId = Brand<string, 'ZoneId'>;

/** A trainer. */
export type TrainerId = Brand<string, 'TrainerId'>;

/** A trainer's step. */
export type StepId = Brand<string, 'StepId'>;

/** A sample, named by trainer, step, group and index. */
export type SampleId = Brand<string, 'SampleId'>;

/** A caller's request. */
export type RequestId = Brand<string, 'RequestId'>;

/** One try of a request at one target. */
export type AttemptId = Brand<string, 'AttemptId'>;

/** A record's unique id on the platform's log. */
export type RecordId = Brand<string, 'RecordId'>;

/** A record's place in its stream on the platform's log. */
export type Offset = Brand<number, 'Offset'>;

/** The offset of the change that made a configuration. Zero or more; rises with each change. */
export type ConfigVersion = Brand<number, 'ConfigVersion'>;

/** A weight version of a trainer. Rises with each publication. */
export type WeightVersion = Brand<number, 'WeightVersion'>;

/** A number that rises with each holder of a duty; the offset of the holder's claim. */
export type FencingNumber = Brand<number, 'FencingNumber'>;

/**
 * Makes a unique id.
 *
 * @returns a random id of the wanted brand
 * @example const attempt = createId<AttemptId>();
 */
export function createId<T extends Brand<string, string>>(): T {
  return randomUUID() as string as T;
}
