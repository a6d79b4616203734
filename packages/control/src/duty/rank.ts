/** Distributes duties over their candidates by rendezvous hashing. */
import { createHash } from 'node:crypto';

import type { InstanceId } from '@hibiscushill/base';
import * as N from 'fp-ts/number';
import * as Ord from 'fp-ts/Ord';
import { pipe } from 'fp-ts/function';
import * as A from 'fp-ts/ReadonlyArray';

import type { DutyName } from './records';

const WEIGHT_BYTES = 6; // the most that `readUIntBE` reads

/**
 * Sorts the candidates of a duty by preference. The order is the same in every process.
 *
 * @param duty - the duty's name
 * @param candidates - the instances that may claim the duty
 * @returns the candidates, the preferred one first
 */
export function rankCandidates(duty: DutyName, candidates: readonly InstanceId[]): InstanceId[] {
  const byWeight = pipe(
    N.Ord,
    Ord.contramap((candidate: InstanceId) => -computeWeight(duty, candidate)),
  );
  return [...pipe(candidates, A.sort(byWeight))];
}

function computeWeight(duty: DutyName, candidate: InstanceId): number {
  const digest = createHash('sha256').update(`${duty}\n${candidate}`).digest();
  return digest.readUIntBE(0, WEIGHT_BYTES);
}
