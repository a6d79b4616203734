/**
 * A simulation of operators and readers that race on a log, with the invariants that every
 * acceptance rule must keep.
 */
import type { Offset } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import fc from 'fast-check';

import {
  type ConfigProjection,
  type ConfigState,
  type AppliedRecord,
  createSnapshotPayload,
} from '../src';
import { createChange, createDeclarations, createSnapshot } from './fixtures';

/** A reader of the log with the acceptance rule under test. */
export type Reader = Pick<
  ConfigProjection,
  'state' | 'version' | 'position' | 'isAttached' | 'seek' | 'apply' | 'adopt'
>;

/** When an appended record arrives on the log: at once, at once and again later, or only later. */
type Delivery = 'now' | 'twice' | 'late';

/** A step of a race; `by` and `to` are the indexes of readers. */
export type Step =
  | { readonly type: 'change'; readonly by: number; readonly delivery: Delivery }
  | { readonly type: 'snapshot'; readonly by: number; readonly delivery: Delivery }
  | { readonly type: 'deliver'; readonly which: number }
  | { readonly type: 'read'; readonly by: number; readonly count: number }
  | { readonly type: 'offer'; readonly by: number; readonly to: number }
  | { readonly type: 'trim'; readonly share: number }
  | { readonly type: 'start'; readonly by: number };

const READERS = 4;
const readerIndex = fc.nat(READERS - 1);
const anyDelivery = fc.constantFrom<Delivery>('now', 'now', 'twice', 'late');

/** Generates the steps of a race. */
export const raceSteps: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    fc.record({ type: fc.constant('change' as const), by: readerIndex, delivery: anyDelivery }),
    fc.record({ type: fc.constant('change' as const), by: readerIndex, delivery: anyDelivery }),
    fc.record({ type: fc.constant('snapshot' as const), by: readerIndex, delivery: anyDelivery }),
    fc.record({ type: fc.constant('deliver' as const), which: fc.nat(9) }),
    fc.record({
      type: fc.constant('read' as const),
      by: readerIndex,
      count: fc.integer({ min: 1, max: 9 }),
    }),
    fc.record({
      type: fc.constant('read' as const),
      by: readerIndex,
      count: fc.integer({ min: 1, max: 9 }),
    }),
    fc.record({ type: fc.constant('offer' as const), by: readerIndex, to: readerIndex }),
    fc.record({ type: fc.constant('trim' as const), share: fc.integer({ min: 1, max: 100 }) }),
    fc.record({ type: fc.constant('start' as const), by: readerIndex }),
  ),
  { minLength: 10, maxLength: 80 },
);

/**
 * A race between readers with the same rule. A reference reader reads each record as it is
 * appended; the others read late, miss trimmed records, restart and adopt each other's states.
 */
export class Race {
  readonly #create: () => Reader;

  readonly #reference: Reader;

  readonly #readers: Reader[];

  readonly #records: LogRecord[] = [];

  /** Create the records that arrive later. */
  readonly #delayed: ((offset: number) => LogRecord)[] = [];

  /** The reference reader's state after each offset. */
  readonly #stateAfter: string[] = [];

  /** The offsets of the accepted changes by record id. */
  readonly #accepted = new Map<string, number>();

  #firstOffset = 0;

  #changeCount = 0;

  constructor(create: () => Reader) {
    this.#create = create;
    this.#reference = create();
    this.#readers = Array.from({ length: READERS }, create);
  }

  /** Runs the steps; throws after the first step that violates an invariant. */
  run(steps: readonly Step[]): void {
    steps.forEach((step) => this.#runStep(step));
    this.#readers.forEach((_, index) => this.#read(index, Infinity));
    this.#checkReaders();
  }

  #runStep(step: Step): void {
    const versions = this.#readers.map((reader) => reader.version);
    if (step.type === 'change') this.#change(step.by, step.delivery);
    else if (step.type === 'snapshot') this.#snapshot(step.by, step.delivery);
    else if (step.type === 'deliver') this.#deliverDelayed(step.which);
    else if (step.type === 'read') this.#read(step.by, step.count);
    else if (step.type === 'offer') this.#offer(step.by, step.to);
    else if (step.type === 'trim') this.#trim(step.share);
    else this.#restart(step.by, versions);
    this.#readers.forEach((reader, index) => {
      assertThat(reader.version >= (versions[index] ?? -1), 'a version decreased');
    });
    this.#checkReaders();
  }

  #change(by: number, delivery: Delivery): void {
    const base = this.#readers[by]?.version ?? -1;
    this.#changeCount += 1;
    const content = createDeclarations(this.#changeCount);
    const id = `change-${this.#changeCount}`;
    this.#deliver(delivery, (offset) => ({
      ...createChange(offset, base, content),
      id: id as never,
    }));
  }

  #snapshot(by: number, delivery: Delivery): void {
    const state = this.#readers[by]?.state;
    if (state === undefined || this.#readers[by]?.isAttached !== true) return;
    const { through, asOf, state: content } = createSnapshotPayload(state);
    this.#deliver(delivery, (offset) => createSnapshot(offset, through, asOf, content));
  }

  #deliver(delivery: Delivery, createAt: (offset: number) => LogRecord): void {
    if (delivery !== 'late') this.#append(createAt);
    if (delivery !== 'now') this.#delayed.push(createAt);
  }

  #deliverDelayed(which: number): void {
    if (this.#delayed.length === 0) return;
    const [createAt] = this.#delayed.splice(which % this.#delayed.length, 1);
    if (createAt !== undefined) this.#append(createAt);
  }

  #append(createAt: (offset: number) => LogRecord): void {
    const record = createAt(this.#records.length);
    this.#records.push(record);
    const before = this.#reference.version;
    this.#recordAccepted(this.#reference.apply(record), before);
    this.#stateAfter.push(formatState(this.#reference.state));
  }

  #recordAccepted(applied: readonly AppliedRecord[], before: number): void {
    applied.forEach(({ record, effect }) => {
      if (effect.type !== 'accepted') return;
      const { base } = record.payload as { base: number };
      assertThat(
        base === before,
        'a change was accepted although its base is not the current version',
      );
      assertThat(!this.#accepted.has(record.id), 'a duplicate of a change was accepted');
      this.#accepted.set(record.id, record.offset);
    });
  }

  #read(by: number, count: number): void {
    const reader = this.#readers[by];
    if (reader === undefined) return;
    const { position } = reader;
    if (position + 1 < this.#firstOffset) reader.seek(this.#firstOffset as Offset);
    const from = Math.max(this.#firstOffset, position + 1);
    this.#records.slice(from, from + count).forEach((record) => {
      reader.apply(record).forEach((applied) => this.#checkEffect(applied));
    });
  }

  #checkEffect({ record, effect }: AppliedRecord): void {
    if (record.kind !== 'config.change') return;
    const isAccepted = this.#accepted.get(record.id) === record.offset;
    assertThat(
      (effect.type === 'accepted') === isAccepted,
      'two readers judged a change otherwise',
    );
  }

  #offer(by: number, to: number): void {
    const state = this.#readers[by]?.state;
    if (state !== undefined) this.#readers[to]?.adopt(state);
  }

  #trim(share: number): void {
    const kept = this.#records.length - this.#firstOffset;
    this.#firstOffset += Math.floor((kept * share) / 100);
  }

  #restart(by: number, versions: number[]): void {
    this.#readers[by] = this.#create();
    // A restarted process has no version that could decrease.
    // eslint-disable-next-line no-param-reassign
    versions[by] = -1;
  }

  #checkReaders(): void {
    this.#readers.forEach((reader) => {
      const { state } = reader;
      if (reader.isAttached) {
        const expected =
          reader.position < 0 ? formatState(undefined) : this.#stateAfter[reader.position];
        assertThat(formatState(state) === expected, 'two readers of the same records differ');
      } else if (state !== undefined) {
        const expected = this.#stateAfter[state.version];
        assertThat(
          formatState(state) === expected,
          'a reader has a version that was never current',
        );
      }
    });
  }
}

function formatState(state: ConfigState | undefined): string {
  return state === undefined ? 'none' : `${state.version} ${JSON.stringify(state.declarations)}`;
}

function assertThat(condition: boolean, message: string): void {
  if (!condition) throw new Error(message);
}
