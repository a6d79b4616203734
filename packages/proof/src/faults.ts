/** Faults on a running deployment, and schedules of them from a seed. */
import type { RandomSource } from '@hibiscushill/base';

import { type Cluster, pause, postJson } from './cluster';
import type { FaultRecord } from './history';

/** The kinds of faults. */
export const FAULT_KINDS = [
  'kill-agent',
  'freeze-agent',
  'freeze-target',
  'crash-target',
  'cut-link',
  'silence-link',
  'block-link',
  'freeze-entry',
  'kill-entry',
  'platform-outage',
  'lose-answers',
  'leave-target',
] as const;

/** A kind of fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault of a schedule. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** When it begins, in milliseconds from the start of the run. */
  readonly atMs: number;
  readonly lengthMs: number;
  /** Which target or entry it hits, as an index. */
  readonly index: number;
}

/**
 * Plans faults.
 *
 * @param random - the source of the schedule
 * @param options - how many, over which time, and of which kinds
 * @returns the faults in the order of their begin
 */
export function planFaults(
  random: RandomSource,
  options: { count: number; spanMs: number; kinds?: readonly FaultKind[] },
): PlannedFault[] {
  const kinds = options.kinds ?? FAULT_KINDS;
  return Array.from({ length: options.count }, () => ({
    kind: random.pick(kinds) ?? 'cut-link',
    atMs: random.int(0, options.spanMs),
    lengthMs: random.int(500, 3500),
    index: random.int(0, 1000),
  })).sort((a, b) => a.atMs - b.atMs);
}

/** Brings faults about, and heals them. */
export class FaultInjector {
  readonly #cluster: Cluster;

  readonly #record: (fault: FaultRecord) => void;

  // Two faults on one process at a time would undo one another's healing.
  readonly #busy = new Set<string>();

  /**
   * @param cluster - the deployment
   * @param record - told of each fault as it begins
   */
  constructor(cluster: Cluster, record: (fault: FaultRecord) => void) {
    this.#cluster = cluster;
    this.#record = record;
  }

  /**
   * Runs a schedule to its end; every fault is healed by then.
   *
   * @param faults - the schedule
   */
  async run(faults: readonly PlannedFault[]): Promise<void> {
    const startedAt = performance.now();
    await Promise.all(
      faults.map(async (fault) => {
        await pause(Math.max(0, fault.atMs - (performance.now() - startedAt)));
        await this.#inject(fault);
      }),
    );
  }

  async #inject(fault: PlannedFault): Promise<void> {
    const on = this.#victim(fault);
    if (this.#busy.has(on)) return;
    this.#busy.add(on);
    this.#record({ at: performance.now(), fault: fault.kind, on });
    await this.#bringAbout(fault, on);
    this.#busy.delete(on);
  }

  #victim(fault: PlannedFault): string {
    if (fault.kind === 'platform-outage' || fault.kind === 'lose-answers') return 'platform';
    const isEntry = fault.kind === 'freeze-entry' || fault.kind === 'kill-entry';
    const names = isEntry ? [...this.#cluster.entries.keys()] : [...this.#cluster.targets.keys()];
    return names[fault.index % names.length] ?? '';
  }

  async #bringAbout({ kind, lengthMs }: PlannedFault, on: string): Promise<void> {
    switch (kind) {
      case 'kill-agent':
        await this.#target(on).agent.stop('SIGKILL');
        await pause(lengthMs);
        await this.#cluster.restartAgent(this.#target(on));
        break;
      case 'leave-target':
        await this.#target(on).agent.stop('SIGTERM');
        await this.#cluster.restartAgent(this.#target(on));
        break;
      case 'freeze-agent':
        await freeze(this.#target(on).agent, lengthMs);
        break;
      case 'freeze-target':
        await freeze(this.#target(on).backend, lengthMs);
        break;
      case 'crash-target':
        await postJson(`http://${this.#target(on).backend.ready.listening}/admin/crash`, {});
        break;
      case 'freeze-entry':
        await freeze(this.#entry(on), lengthMs);
        break;
      case 'kill-entry':
        await this.#killEntry(on, lengthMs);
        break;
      case 'cut-link':
        await this.#cutter(on, 'cut');
        await this.#cutter(on, 'heal');
        break;
      case 'silence-link':
        await this.#cutter(on, 'silence');
        await pause(lengthMs);
        await this.#cutter(on, 'heal');
        break;
      case 'block-link':
        await this.#cutter(on, 'block');
        await pause(lengthMs);
        await this.#cutter(on, 'heal');
        break;
      case 'platform-outage':
        await this.#platform({ outage: true });
        await pause(lengthMs);
        await this.#platform({ outage: false });
        break;
      default:
        await this.#platform({ loseAnswers: 0.3 });
        await pause(lengthMs);
        await this.#platform({ loseAnswers: 0 });
    }
  }

  async #killEntry(name: string, lengthMs: number): Promise<void> {
    const plan = this.#cluster.plan.entries.find((entry) => entry.instance === name);
    await this.#entry(name).stop('SIGKILL');
    await pause(lengthMs);
    if (plan !== undefined) await this.#cluster.startEntry(plan);
  }

  async #cutter(on: string, mode: string): Promise<void> {
    await postJson(`http://${this.#target(on).cutter.ready.admin}/admin/${mode}`, {});
  }

  async #platform(settings: object): Promise<void> {
    await postJson(`${this.#cluster.platformUrl}/admin/faults`, settings);
  }

  #target(name: string) {
    const target = this.#cluster.targets.get(name);
    if (target === undefined) throw new Error(`No target ${name}.`);
    return target;
  }

  #entry(name: string) {
    const entry = this.#cluster.entries.get(name);
    if (entry === undefined) throw new Error(`No entry ${name}.`);
    return entry;
  }
}

async function freeze(child: { signal(signal: NodeJS.Signals): void }, ms: number): Promise<void> {
  child.signal('SIGSTOP');
  await pause(ms);
  child.signal('SIGCONT');
}
