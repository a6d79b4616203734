/** Creates the admission, routing, retry and hedging policies that an entry's settings select. */
import type { Clock, RandomSource } from '@hibiscushill/base';
import {
  type AdmissionPolicy,
  AffinityTargetPolicy,
  BoundedAdmission,
  type HedgePolicy,
  NoHedgePolicy,
  UnboundedAdmission,
  QuantileHedgePolicy,
  RandomTargetPolicy,
  RetryBudget,
  type RetryPolicy,
  SafeRetryPolicy,
  ShareTracker,
  type TargetPolicy,
} from '@hibiscushill/routing';

import type { EntrySettings } from './settings';

/** The policies of an entry. */
export interface EntryPolicies {
  readonly shareTracker: ShareTracker;
  readonly admission: AdmissionPolicy;
  readonly target: TargetPolicy;
  readonly retry: RetryPolicy;
  readonly retryBudget: RetryBudget;
  readonly hedge: HedgePolicy;
}

/**
 * Creates the policies that the settings select.
 *
 * @param cfg - the settings `admission`, `target-policy` and `hedging`
 * @param clock - the process's clock
 * @param random - the process's random source
 * @returns the policies; they share one share tracker and one retry budget
 */
export function createPolicies(
  cfg: EntrySettings,
  clock: Clock,
  random: RandomSource,
): EntryPolicies {
  const shareTracker = new ShareTracker({ clock, entry: cfg.instance });
  const retryBudget = new RetryBudget({ clock });
  return {
    shareTracker,
    retryBudget,
    admission:
      cfg.admission === 'bounded'
        ? new BoundedAdmission({ clock, random, shares: shareTracker })
        : new UnboundedAdmission(),
    target:
      cfg.targetPolicy === 'affinity'
        ? new AffinityTargetPolicy({ random })
        : new RandomTargetPolicy({ random }),
    retry: new SafeRetryPolicy({ budget: retryBudget, random }),
    hedge:
      cfg.hedging === 'quantile'
        ? new QuantileHedgePolicy({ clock, budget: retryBudget })
        : new NoHedgePolicy(),
  };
}
