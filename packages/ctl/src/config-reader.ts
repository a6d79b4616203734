/** Reads the configuration in force from the log. */
import type { Failure, Offset, RecordId } from '@hibiscushill/base';
import {
  ConfigProjection,
  type ConfigState,
  type AppliedRecord,
  type RecordEffect,
} from '@hibiscushill/config';
import type { Log } from '@hibiscushill/log';
import { type Result, err, ok } from 'neverthrow';

const STREAM = 'config';
const PAGE_LIMIT = 500;

/** Replays the configuration stream on request and keeps the effect of each record. */
export class ConfigReader {
  readonly #log: Log;

  readonly #projection = new ConfigProjection();

  readonly #effects = new Map<RecordId, RecordEffect>();

  #next: Offset | undefined;

  #hasGap = false;

  /** @param log - the log */
  constructor(log: Log) {
    this.#log = log;
  }

  /** The version in force, or -1 if there is none. */
  get version(): number {
    return this.#projection.version;
  }

  /** The configuration in force; undefined if there is none. */
  get state(): ConfigState | undefined {
    return this.#projection.state;
  }

  /**
   * Whether the log held all records since its start or since a snapshot; `version` and `state` are
   * reliable only then.
   */
  get isComplete(): boolean {
    return this.#projection.isAttached;
  }

  /** The offset to read next; undefined before the first `catchUp`. */
  get next(): Offset | undefined {
    return this.#next;
  }

  /** Whether the log dropped records that this reader had not read yet. */
  get hasGap(): boolean {
    return this.#hasGap;
  }

  /**
   * Looks up the effect of a record: whether it was accepted, and otherwise why not.
   *
   * @param id - the id of the record
   * @returns the effect, or undefined if the record was not read; if the log holds the record more
   *   than once, `accepted` takes precedence
   */
  effectOf(id: RecordId): RecordEffect | undefined {
    return this.#effects.get(id);
  }

  /**
   * Reads the records up to the current end of the stream.
   *
   * @returns nothing, or why the log could not be read
   */
  async catchUp(): Promise<Result<void, Failure>> {
    const bounds = await this.#log.bounds(STREAM);
    if (bounds.isErr()) return err(bounds.error);
    if (this.#next === undefined || this.#next < bounds.value.first) {
      this.#hasGap = this.#next !== undefined;
      this.#projection.seek(bounds.value.first);
      this.#next = bounds.value.first;
    }
    while (this.#next < bounds.value.next) {
      const page = await this.#log.read(STREAM, this.#next, { limit: PAGE_LIMIT });
      if (page.isErr()) return err(page.error);
      page.value.records.forEach((record) =>
        this.#projection.apply(record).forEach(this.#recordEffect),
      );
      this.#next = page.value.next;
    }
    return ok(undefined);
  }

  readonly #recordEffect = ({ record, effect }: AppliedRecord): void => {
    if (this.#effects.get(record.id)?.type === 'accepted') return;
    this.#effects.set(record.id, effect);
  };
}
