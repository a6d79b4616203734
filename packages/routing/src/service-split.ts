/** Which service of a split route runs a request or an item. */
import type { ServiceId } from '@hibiscushill/base';

import { RendezvousKey } from './rendezvous-key';

/** A service of a split route. */
export interface SplitService {
  readonly service: ServiceId;
  /** Its part of the route's work, in proportion to the other weights; zero for none. */
  readonly weight: number;
}

/** Tells whether a service has targets that can take the work now. */
export type CanServe = (service: ServiceId) => boolean;

/**
 * Lists the services among which work is split now: those that can serve, or all if none can. Load
 * pattern: all targets of one service are lost or are leaving, while another one's are idle.
 */
export function listServing(
  services: readonly SplitService[],
  canServe: CanServe,
): readonly SplitService[] {
  if (services.length <= 1) return services;
  const weighted = services.filter(({ weight }) => weight > 0);
  const candidates = weighted.length > 0 ? weighted : services;
  const serving = candidates.filter(({ service }) => canServe(service));
  return serving.length > 0 ? serving : candidates;
}

/**
 * Chooses a service at random in proportion to the weights.
 *
 * @param services - the services
 * @param fraction - a random number from 0 to below 1
 * @returns undefined without any service
 */
export function chooseServiceAtRandom(
  services: readonly SplitService[],
  fraction: number,
): ServiceId | undefined {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  const found = services.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (found ?? services[0])?.service;
}

/**
 * Chooses the service of a key in proportion to the weights. A key keeps its service while that one
 * is among the services and the weights are the same.
 *
 * @param services - the services
 * @param key - what stays together, such as the items that share a prompt
 * @returns undefined without any service
 */
export function chooseServiceForKey(
  services: readonly SplitService[],
  key: string,
): ServiceId | undefined {
  const [first, ...others] = services;
  if (others.length === 0) return first?.service;
  const hash = new RendezvousKey(key);
  const scored = services.map(({ service, weight }) => ({
    service,
    score: weight > 0 ? hash.score(service, weight) : 0,
  }));
  return scored.reduce((best, one) => (one.score > best.score ? one : best)).service;
}
