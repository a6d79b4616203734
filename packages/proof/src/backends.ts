/** What the stand-ins of the targets saw. */
import { request } from 'undici';

import type { Cluster } from './cluster';
import type { PlatformEvent } from './platform-checkers';
import type { BackendEvent } from './request-checkers';

/**
 * Reads the histories of every target's stand-in.
 *
 * @param cluster - the deployment
 * @returns the events of all, each stand-in's in their order
 */
export async function readBackends(cluster: Cluster): Promise<BackendEvent[]> {
  const urls = [...cluster.targets.values()].map(
    ({ backend }) => `http://${backend.ready.listening ?? ''}`,
  );
  const histories = await Promise.all(urls.map((url) => readHistory<BackendEvent>(url)));
  return histories.flat();
}

/**
 * Reads what the platform's stand-in saw.
 *
 * @param cluster - the deployment
 * @returns the events in the order of arrival, service by service
 */
export function readPlatform(cluster: Cluster): Promise<PlatformEvent[]> {
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
