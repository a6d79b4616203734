/** Schedules of faults from a seed, and their injection into a running deployment. */
import type { RandomSource } from '@hibiscushill/base';
import { type Result, err, ok } from 'neverthrow';

import { type Cluster, postJson, sleep } from './cluster';
import type { FaultRecord } from './history';

/**
 * The kinds of faults: `freeze` pauses a process, `cut` resets a target's connections, `silence`
 * permanently drops all bytes on its open connections, `block` holds back all bytes for a while,
 * `leave` shuts an agent down gracefully, `lose-answers` drops some of the platform's responses.
 */
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

/**
 * Parses kinds of faults.
 *
 * @param text - the kinds, separated by commas
 * @returns the kinds, or the names that are none
 */
export function parseFaultKinds(text: string): Result<FaultKind[], string[]> {
  const names = text.split(',').map((name) => name.trim());
  const unknown = names.filter((name) => !isFaultKind(name));
  return unknown.length > 0 ? err(unknown) : ok(names.filter(isFaultKind));
}

function isFaultKind(name: string): name is FaultKind {
  return (FAULT_KINDS as readonly string[]).includes(name);
}

/** A fault of a schedule. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** When it begins, in milliseconds from the start of the run. */
  readonly startMs: number;
  /** How long it lasts; kinds that take effect once ignore it. */
  readonly durationMs: number;
  /** Chooses the target or entry that it affects: an index, modulo their number. */
  readonly affectedIndex: number;
}

/**
 * Plans random faults.
 *
 * @param random - the source of the schedule
 * @param options - how many, within how many milliseconds they begin, and of which kinds (all
 *   when left out)
 * @returns the faults in the order in which they begin
 */
export function planFaults(
  random: RandomSource,
  options: { count: number; spanMs: number; kinds?: readonly FaultKind[] },
): PlannedFault[] {
  const kinds = options.kinds ?? FAULT_KINDS;
  return Array.from({ length: options.count }, () => ({
    kind: random.pick(kinds) ?? 'cut-link',
    startMs: random.int(0, options.spanMs),
    durationMs: random.int(500, 3500),
    affectedIndex: random.int(0, 1000),
  })).sort((a, b) => a.startMs - b.startMs);
}

/** Injects faults into a deployment and reverts them. */
export class FaultInjector {
  readonly #cluster: Cluster;

  readonly #onFault: (fault: FaultRecord) => void;

  // Targets, entries and `platform` with a fault in progress. A second fault at the same time would
  // be reverted as soon as the first one ends.
  readonly #affectedNames = new Set<string>();

  /**
   * @param cluster - the deployment
   * @param onFault - called with each fault as it begins
   */
  constructor(cluster: Cluster, onFault: (fault: FaultRecord) => void) {
    this.#cluster = cluster;
    this.#onFault = onFault;
  }

  /**
   * Injects the faults of a schedule and waits until all are reverted. A fault is skipped while
   * another one affects the same target, entry or platform.
   *
   * @param faults - the schedule
   */
  async run(faults: readonly PlannedFault[]): Promise<void> {
    const startedAt = performance.now();
    await Promise.all(
      faults.map(async (fault) => {
        await sleep(Math.max(0, fault.startMs - (performance.now() - startedAt)));
        await this.#inject(fault);
      }),
    );
  }

  async #inject(fault: PlannedFault): Promise<void> {
    const name = this.#chooseAffectedName(fault);
    if (this.#affectedNames.has(name)) return;
    this.#affectedNames.add(name);
    this.#onFault({ at: performance.now(), fault: fault.kind, on: name });
    await this.#apply(fault, name);
    this.#affectedNames.delete(name);
  }

  #chooseAffectedName(fault: PlannedFault): string {
    if (fault.kind === 'platform-outage' || fault.kind === 'lose-answers') return 'platform';
    const isEntry = fault.kind === 'freeze-entry' || fault.kind === 'kill-entry';
    const names = isEntry ? [...this.#cluster.entries.keys()] : [...this.#cluster.targets.keys()];
    return names[fault.affectedIndex % names.length] ?? '';
  }

  async #apply({ kind, durationMs }: PlannedFault, name: string): Promise<void> {
    switch (kind) {
      case 'kill-agent':
        await this.#getTarget(name).agent.stop('SIGKILL');
        await sleep(durationMs);
        await this.#cluster.restartAgent(this.#getTarget(name));
        break;
      case 'leave-target':
        await this.#getTarget(name).agent.stop('SIGTERM');
        await this.#cluster.restartAgent(this.#getTarget(name));
        break;
      case 'freeze-agent':
        await freeze(this.#getTarget(name).agent, durationMs);
        break;
      case 'freeze-target':
        await freeze(this.#getTarget(name).fakeTarget, durationMs);
        break;
      case 'crash-target':
        await postJson(
          `http://${this.#getTarget(name).fakeTarget.readyLine.listening}/admin/crash`,
          {},
        );
        break;
      case 'freeze-entry':
        await freeze(this.#getEntry(name), durationMs);
        break;
      case 'kill-entry':
        await this.#killEntry(name, durationMs);
        break;
      case 'cut-link':
        await this.#setProxyMode(name, 'cut');
        await this.#setProxyMode(name, 'heal');
        break;
      case 'silence-link':
        await this.#setProxyMode(name, 'silence');
        await sleep(durationMs);
        await this.#setProxyMode(name, 'heal');
        break;
      case 'block-link':
        await this.#setProxyMode(name, 'block');
        await sleep(durationMs);
        await this.#setProxyMode(name, 'heal');
        break;
      case 'platform-outage':
        await this.#setPlatformFaults({ outage: true });
        await sleep(durationMs);
        await this.#setPlatformFaults({ outage: false });
        break;
      default:
        await this.#setPlatformFaults({ loseAnswers: 0.3 });
        await sleep(durationMs);
        await this.#setPlatformFaults({ loseAnswers: 0 });
    }
  }

  async #killEntry(name: string, durationMs: number): Promise<void> {
    const plan = this.#cluster.plan.entries.find((entry) => entry.instance === name);
    await this.#getEntry(name).stop('SIGKILL');
    await sleep(durationMs);
    if (plan !== undefined) await this.#cluster.startEntry(plan);
  }

  async #setProxyMode(name: string, mode: string): Promise<void> {
    await postJson(`http://${this.#getTarget(name).faultProxy.readyLine.admin}/admin/${mode}`, {});
  }

  async #setPlatformFaults(settings: object): Promise<void> {
    await postJson(`${this.#cluster.platformUrl}/admin/faults`, settings);
  }

  #getTarget(name: string) {
    const target = this.#cluster.targets.get(name);
    if (target === undefined) throw new Error(`The deployment has no target ${name}.`);
    return target;
  }

  #getEntry(name: string) {
    const entry = this.#cluster.entries.get(name);
    if (entry === undefined) throw new Error(`The deployment has no entry ${name}.`);
    return entry;
  }
}

async function freeze(
  child: { signal(signal: NodeJS.Signals): void },
  durationMs: number,
): Promise<void> {
  child.signal('SIGSTOP');
  await sleep(durationMs);
  child.signal('SIGCONT');
}
