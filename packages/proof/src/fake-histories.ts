/** Reads the events that the fakes have recorded. */
import { request } from 'undici';

import type { Cluster } from './cluster';
import type { PlatformEvent } from './platform-checkers';
import type { TargetEvent } from './request-checkers';

/**
 * Reads the events of every fake target.
 *
 * @param cluster - the deployment
 * @returns the events target by target, each target's in the order in which they happened
 */
export async function readTargetEvents(cluster: Cluster): Promise<TargetEvent[]> {
  const urls = [...cluster.targets.values()].map(
    ({ fakeTarget }) => `http://${fakeTarget.readyLine.listening ?? ''}`,
  );
  const histories = await Promise.all(urls.map((url) => readHistory<TargetEvent>(url)));
  return histories.flat();
}

/**
 * Reads the events of the fake platform.
 *
 * @param cluster - the deployment
 * @returns the events service by service, each service's in the order of arrival
 */
export function readPlatformEvents(cluster: Cluster): Promise<PlatformEvent[]> {
  return readHistory<PlatformEvent>(cluster.platformUrl);
}

async function readHistory<T>(url: string): Promise<T[]> {
  const res = await request(`${url}/admin/history`);
  const text = await res.body.text();
  return text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as T);
}
