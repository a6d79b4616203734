/** The roles of the program hibiscus-fakes, and the fake services of each. */
import { FakeEngine } from './engine/engine';
import type { FakeServiceOptions } from './fake-service';
import { FakeInstances } from './instances';
import { FakeLog } from './log';
import { FakeOrders } from './orders';
import { FakePlainService } from './plain-service';
import type { AnyFakeService } from './server';
import { FakeUsage } from './usage';
import { FakeWeights } from './weights';

const FACTORIES: Record<string, (options: FakeServiceOptions) => AnyFakeService[]> = {
  log: (options) => [new FakeLog(options)],
  orders: (options) => [new FakeOrders(options)],
  usage: (options) => [new FakeUsage(options)],
  instances: (options) => [new FakeInstances(options)],
  weights: (options) => [new FakeWeights(options)],
  engine: (options) => [new FakeEngine(options)],
  plain: (options) => [new FakePlainService(options)],
  platform: (options) => [
    new FakeLog(options),
    new FakeOrders(options),
    new FakeUsage(options),
    new FakeInstances(options),
    new FakeWeights(options),
  ],
};

/** The names of the roles that are served over HTTP. */
export const ROLES: readonly string[] = Object.keys(FACTORIES);

/**
 * Creates the fake services of a role.
 *
 * @param role - the name of the role
 * @param options - the seed and the initial settings
 * @returns the fake services, or undefined if the role is unknown
 */
export function createFakes(
  role: string,
  options: FakeServiceOptions,
): AnyFakeService[] | undefined {
  return FACTORIES[role]?.(options);
}
