/** Branded types for identifiers, so that the compiler tells different kinds apart. */
import { randomUUID } from 'node:crypto';

declare const brand: unique symbol;

/** A value of type `T` that is assignable only where a value of the brand `B` is expected. */
export type Brand<T, B extends string> = T & { readonly [brand]: B };

/** A team (tenant): its requests are limited and billed together. */
export type TeamId = Brand<string, 'TeamId'>;

/** The public part of a caller's key. */
export type KeyId = Brand<string, 'KeyId'>;

/** A service that callers reach under `/s/{service}/`. */
export type ServiceId = Brand<string, 'ServiceId'>;

/** A target (back end), which is served through one agent. */
export type TargetId = Brand<string, 'TargetId'>;

/** An instance (machine) that runs one of the system's processes. */
export type InstanceId = Brand<string, 'InstanceId'>;

/** One start of a process. Every restart has a new id. */
export type IncarnationId = Brand<string, 'IncarnationId'>;

/** An availability zone. */
export type ZoneId = Brand<string, 'ZoneId'>;

/** A region: availability zones between which data may move freely. */
export type RegionId = Brand<string, 'RegionId'>;

/** A trainer, which creates steps and publishes weights. */
export type TrainerId = Brand<string, 'TrainerId'>;

/** A step of a trainer: a batch of prompts for which it gets samples. */
export type StepId = Brand<string, 'StepId'>;

/** A sample, identified by trainer, step, group and index. */
export type SampleId = Brand<string, 'SampleId'>;

/** A caller's request. */
export type RequestId = Brand<string, 'RequestId'>;

/** One attempt to run a request at one target. */
export type AttemptId = Brand<string, 'AttemptId'>;

/** Identifies what a request consists of: the same for each time that a caller sends it. */
export type ContentDigest = Brand<string, 'ContentDigest'>;

/** The unique id of a record on the platform's log. */
export type RecordId = Brand<string, 'RecordId'>;

/** The position of a record in its stream on the platform's log. */
export type Offset = Brand<number, 'Offset'>;

/** The log offset of the change that created a configuration; rises with each change. */
export type ConfigVersion = Brand<number, 'ConfigVersion'>;

/** A version of a trainer's weights; rises with each publication. */
export type WeightVersion = Brand<number, 'WeightVersion'>;

/** Identifies a stream over the attempts of its caller, by the first attempt and its team. */
export type StreamKey = Brand<string, 'StreamKey'>;

/** A version of the software that a target runs, as the target names it. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;

/** The log offset of a duty holder's claim; rises with each holder and fences off earlier ones. */
export type FencingNumber = Brand<number, 'FencingNumber'>;

/**
 * Creates a unique id.
 *
 * @returns a random UUID of the brand `T`
 * @example const attempt = createId<AttemptId>();
 */
export function createId<T extends Brand<string, string>>(): T {
  return randomUUID() as string as T;
}
