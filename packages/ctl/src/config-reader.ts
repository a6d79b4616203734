/** Reads the configuration in force from the log. */
import type { Failure, Offset, RecordId } from '@hibiscushill/base';
import {
  ConfigHistory,
  type ConfigState,
  type Judgement,
  type Verdict,
} from '@hibiscushill/config';
import type { Log } from '@hibiscushill/log';
import { type Result, err, ok } from 'neverthrow';

const STREAM = 'config';
const PAGE_LIMIT = 500;

/** A reader that goes forward each time it is asked to, and keeps the verdicts. */
export class ConfigReader {
  readonly #log: Log;

  readonly #history = new ConfigHistory();

  readonly #verdicts = new Map<RecordId, Verdict>();

  #next: Offset | undefined;

  #hasGap = false;

  /** @param log - the log */
  constructor(log: Log) {
    this.#log = log;
  }

  /** The version in force, or -1. */
  get version(): number {
    return this.#history.version;
  }

  /** The configuration in force. */
  get state(): ConfigState | undefined {
    return this.#history.state;
  }

  /** Whether the log held enough to tell what is in force. */
  get isAttached(): boolean {
    return this.#history.isAttached;
  }

  /** The offset to read next; undefined before the first reading. */
  get next(): Offset | undefined {
    return this.#next;
  }

  /** Whether records were dropped between two readings, before they were read here. */
  get hasGap(): boolean {
    return this.#hasGap;
  }

  /**
   * Looks up what became of a record.
   *
   * @param id - the record's id
   * @returns the verdict; where the record stands more than once, `accepted` goes first
   */
  verdictOf(id: RecordId): Verdict | undefined {
    return this.#verdicts.get(id);
  }

  /**
   * Reads up to the end of the log.
   *
   * @returns nothing, or why the log could not be read
   */
  async catchUp(): Promise<Result<void, Failure>> {
    const bounds = await this.#log.bounds(STREAM);
    if (bounds.isErr()) return err(bounds.error);
    if (this.#next === undefined || this.#next < bounds.value.first) {
      this.#hasGap = this.#next !== undefined;
      this.#history.readFrom(bounds.value.first);
      this.#next = bounds.value.first;
    }
    while (this.#next < bounds.value.next) {
      const page = await this.#log.read(STREAM, this.#next, { limit: PAGE_LIMIT });
      if (page.isErr()) return err(page.error);
      page.value.records.forEach((record) => this.#history.read(record).forEach(this.#note));
      this.#next = page.value.next;
    }
    return ok(undefined);
  }

  readonly #note = ({ record, verdict }: Judgement): void => {
    if (this.#verdicts.get(record.id)?.type === 'accepted') return;
    this.#verdicts.set(record.id, verdict);
  };
}
