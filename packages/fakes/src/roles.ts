/** The roles of the program, and how each is made. */
import { FakeEngine } from './engine/engine';
import { FakeInstances } from './instances';
import { FakeLog } from './log';
import { FakeOrders } from './orders';
import { FakePlain } from './plain';
import type { AnyStandIn } from './server';
import type { StandInOptions } from './stand-in';
import { FakeUsage } from './usage';
import { FakeWeights } from './weights';

const FACTORIES: Record<string, (options: StandInOptions) => AnyStandIn[]> = {
  log: (options) => [new FakeLog(options)],
  orders: (options) => [new FakeOrders(options)],
  usage: (options) => [new FakeUsage(options)],
  instances: (options) => [new FakeInstances(options)],
  weights: (options) => [new FakeWeights(options)],
  engine: (options) => [new FakeEngine(options)],
  plain: (options) => [new FakePlain(options)],
  platform: (options) => [
    new FakeLog(options),
    new FakeOrders(options),
    new FakeUsage(options),
    new FakeInstances(options),
    new FakeWeights(options),
  ],
};

/** The names of the HTTP roles. */
export const ROLES: readonly string[] = Object.keys(FACTORIES);

/**
 * Makes the stand-ins of a role.
 *
 * @param role - the role's name
 * @param options - the seed and the settings to begin with
 * @returns the stand-ins, or undefined for an unknown role
 */
export function createRole(role: string, options: StandInOptions): AnyStandIn[] | undefined {
  return FACTORIES[role]?.(options);
}
