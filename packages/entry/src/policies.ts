/** The policies that an entry decides with, as its settings name them. */
import type { Clock, RandomSource } from '@hibiscushill/base';
import {
  type AdmissionPolicy,
  AffinityTargetPolicy,
  BoundedAdmission,
  type HedgePolicy,
  NoHedge,
  OpenAdmission,
  QuantileHedge,
  RandomTargetPolicy,
  RetryBudget,
  type RetryPolicy,
  SafeRetryPolicy,
  ShareTracker,
  type TargetPolicy,
} from '@hibiscushill/routing';

import type { EntrySettings } from './settings';

/** An entry's policies. */
export interface Policies {
  readonly shares: ShareTracker;
  readonly admission: AdmissionPolicy;
  readonly target: TargetPolicy;
  readonly retry: RetryPolicy;
  readonly budget: RetryBudget;
  readonly hedge: HedgePolicy;
}

/**
 * Makes the policies.
 *
 * @param cfg - which ones
 * @param clock - the process's clock
 * @param random - the process's random source
 * @returns the policies
 */
export function createPolicies(cfg: EntrySettings, clock: Clock, random: RandomSource): Policies {
  const shares = new ShareTracker({ clock, entry: cfg.instance });
  const budget = new RetryBudget({ clock });
  return {
    shares,
    budget,
    admission:
      cfg.admission === 'bounded'
        ? new BoundedAdmission({ clock, random, shares })
        : new OpenAdmission(),
    target:
      cfg.targetPolicy === 'affinity'
        ? new AffinityTargetPolicy({ random })
        : new RandomTargetPolicy({ random }),
    retry: new SafeRetryPolicy({ budget, random }),
    hedge: cfg.hedging === 'quantile' ? new QuantileHedge({ clock, budget }) : new NoHedge(),
  };
}
