/** Operators and readers that race on a log, and the checks that any rule must pass. */
import type { Offset } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import fc from 'fast-check';

import { type ConfigHistory, type ConfigState, type Judgement, toSnapshot } from '../src';
import { change, sample, snapshot } from './samples';

/** A rule under test. */
export type Reader = Pick<
  ConfigHistory,
  'state' | 'version' | 'position' | 'isAttached' | 'readFrom' | 'read' | 'adopt'
>;

type Landing = 'now' | 'twice' | 'late';

/** One step of a race. */
export type Step =
  | { readonly do: 'change'; readonly by: number; readonly landing: Landing }
  | { readonly do: 'snapshot'; readonly by: number; readonly landing: Landing }
  | { readonly do: 'land'; readonly which: number }
  | { readonly do: 'read'; readonly by: number; readonly count: number }
  | { readonly do: 'offer'; readonly by: number; readonly to: number }
  | { readonly do: 'trim'; readonly share: number }
  | { readonly do: 'start'; readonly by: number };

const READERS = 4;
const reader = fc.nat(READERS - 1);
const landing = fc.constantFrom<Landing>('now', 'now', 'twice', 'late');

/** Generates the steps of a race. */
export const raceSteps: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    fc.record({ do: fc.constant('change' as const), by: reader, landing }),
    fc.record({ do: fc.constant('change' as const), by: reader, landing }),
    fc.record({ do: fc.constant('snapshot' as const), by: reader, landing }),
    fc.record({ do: fc.constant('land' as const), which: fc.nat(9) }),
    fc.record({
      do: fc.constant('read' as const),
      by: reader,
      count: fc.integer({ min: 1, max: 9 }),
    }),
    fc.record({
      do: fc.constant('read' as const),
      by: reader,
      count: fc.integer({ min: 1, max: 9 }),
    }),
    fc.record({ do: fc.constant('offer' as const), by: reader, to: reader }),
    fc.record({ do: fc.constant('trim' as const), share: fc.integer({ min: 1, max: 100 }) }),
    fc.record({ do: fc.constant('start' as const), by: reader }),
  ),
  { minLength: 10, maxLength: 80 },
);

/** A race of one rule against itself: one reader sees all, the others see what they get. */
export class Race {
  readonly #create: () => Reader;

  readonly #reference: Reader;

  readonly #readers: Reader[];

  readonly #records: LogRecord[] = [];

  readonly #late: ((offset: number) => LogRecord)[] = [];

  /** The version and content after each offset. */
  readonly #after: string[] = [];

  readonly #accepted = new Map<string, number>();

  #first = 0;

  #tag = 0;

  constructor(create: () => Reader) {
    this.#create = create;
    this.#reference = create();
    this.#readers = Array.from({ length: READERS }, create);
  }

  /** Runs the steps; throws at the first one after which a check fails. */
  run(steps: readonly Step[]): void {
    steps.forEach((step) => this.#take(step));
    this.#readers.forEach((_, index) => this.#read(index, Infinity));
    this.#checkReaders();
  }

  #take(step: Step): void {
    const versions = this.#readers.map((each) => each.version);
    if (step.do === 'change') this.#change(step.by, step.landing);
    else if (step.do === 'snapshot') this.#snapshot(step.by, step.landing);
    else if (step.do === 'land') this.#land(step.which);
    else if (step.do === 'read') this.#read(step.by, step.count);
    else if (step.do === 'offer') this.#offer(step.by, step.to);
    else if (step.do === 'trim') this.#trim(step.share);
    else this.#restart(step.by, versions);
    this.#readers.forEach((each, index) => {
      check(each.version >= (versions[index] ?? -1), 'a version went down');
    });
    this.#checkReaders();
  }

  #change(by: number, how: Landing): void {
    const base = this.#readers[by]?.version ?? -1;
    this.#tag += 1;
    const content = sample(this.#tag);
    const id = `change-${this.#tag}`;
    this.#send(how, (offset) => ({ ...change(offset, base, content), id: id as never }));
  }

  #snapshot(by: number, how: Landing): void {
    const state = this.#readers[by]?.state;
    if (state === undefined || this.#readers[by]?.isAttached !== true) return;
    const { through, asOf, state: content } = toSnapshot(state);
    this.#send(how, (offset) => snapshot(offset, through, asOf, content));
  }

  #send(how: Landing, make: (offset: number) => LogRecord): void {
    if (how !== 'late') this.#append(make);
    if (how !== 'now') this.#late.push(make);
  }

  #land(which: number): void {
    if (this.#late.length === 0) return;
    const [make] = this.#late.splice(which % this.#late.length, 1);
    if (make !== undefined) this.#append(make);
  }

  #append(make: (offset: number) => LogRecord): void {
    const record = make(this.#records.length);
    this.#records.push(record);
    const before = this.#reference.version;
    this.#judge(this.#reference.read(record), before);
    this.#after.push(describe(this.#reference.state));
  }

  #judge(judgements: readonly Judgement[], before: number): void {
    judgements.forEach(({ record, verdict }) => {
      if (verdict.type !== 'accepted') return;
      const { base } = record.payload as { base: number };
      check(base === before, 'a change was accepted on a version that was replaced');
      check(!this.#accepted.has(record.id), 'a repeated change was accepted');
      this.#accepted.set(record.id, record.offset);
    });
  }

  #read(by: number, count: number): void {
    const each = this.#readers[by];
    if (each === undefined) return;
    const { position } = each;
    if (position + 1 < this.#first) each.readFrom(this.#first as Offset);
    const from = Math.max(this.#first, position + 1);
    this.#records.slice(from, from + count).forEach((record) => {
      each.read(record).forEach((judgement) => this.#compare(judgement));
    });
  }

  #compare({ record, verdict }: Judgement): void {
    if (record.kind !== 'config.change') return;
    const isAccepted = this.#accepted.get(record.id) === record.offset;
    check((verdict.type === 'accepted') === isAccepted, 'two readers judged a change otherwise');
  }

  #offer(by: number, to: number): void {
    const state = this.#readers[by]?.state;
    if (state !== undefined) this.#readers[to]?.adopt(state);
  }

  #trim(share: number): void {
    const kept = this.#records.length - this.#first;
    this.#first += Math.floor((kept * share) / 100);
  }

  #restart(by: number, versions: number[]): void {
    this.#readers[by] = this.#create();
    // A new process has no version to go back from.
    // eslint-disable-next-line no-param-reassign
    versions[by] = -1;
  }

  #checkReaders(): void {
    this.#readers.forEach((each) => {
      const { state } = each;
      if (each.isAttached) {
        const expected = each.position < 0 ? describe(undefined) : this.#after[each.position];
        check(describe(state) === expected, 'two readers of the same records differ');
      } else if (state !== undefined) {
        const expected = this.#after[state.version];
        check(describe(state) === expected, 'a reader has a version that was never in force');
      }
    });
  }
}

function describe(state: ConfigState | undefined): string {
  return state === undefined ? 'none' : `${state.version} ${JSON.stringify(state.declarations)}`;
}

function check(isHeld: boolean, message: string): void {
  if (!isHeld) throw new Error(message);
}
