/** What the stand-ins of the targets saw. */
import { request } from 'undici';

import type { Cluster } from './cluster';
import type { BackendEvent } from './request-checkers';

/**
 * Reads the histories of every target's stand-in.
 *
 * @param cluster - the deployment
 * @returns the events of all, each stand-in's in their order
 */
export async function readBackends(cluster: Cluster): Promise<BackendEvent[]> {
  const texts = await Promise.all(
    [...cluster.targets.values()].map(async ({ backend }) => {
      const res = await request(`http://${backend.ready.listening}/admin/history`);
      return res.body.text();
    }),
  );
  return texts
    .flatMap((text) => text.trim().split('\n'))
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as BackendEvent);
}
