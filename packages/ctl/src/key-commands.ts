/** The commands `key create` and `key withdraw`. */
import type { KeyId } from '@hibiscushill/base';
import { type Declarations, createKey, formatYaml } from '@hibiscushill/config';

import { ChangeApplier } from './applying';
import type { CommandContext } from './context';
import { reportOutcome } from './declaration-commands';
import { type Report, createReport } from './report';

// A withdrawal is as good on the next version, so another change doesn't stop it.
const MOST_TRIES = 8;

/** Makes a key and prints its declaration. Nothing is changed or kept. */
export function createKeyCommand(team: string): Report {
  const key = createKey();
  const declared = { id: key.id, team, hash: key.hash, state: 'active' };
  const yaml = formatYaml({ keys: [declared] });
  const lines = [
    '# Add to your declarations, then apply:',
    ...yaml.split('\n'),
    '# Give to the team; it is shown this once:',
    `# ${key.token}`,
  ];
  return createReport('ok', lines, { declaration: declared, token: key.token });
}

/** Withdraws a key in force, whatever other changes are being accepted meanwhile. */
export async function withdrawKey(context: CommandContext, id: string): Promise<Report> {
  for (let tries = 1; ; tries += 1) {
    const applier = new ChangeApplier(context);
    const read = await applier.reader.catchUp();
    if (read.isErr()) return reportOutcome({ type: 'unavailable', failure: read.error });
    const { state, isAttached, version } = applier.reader;
    if (!isAttached) return reportOutcome({ type: 'detached' });
    const wanted = state && withdraw(state.declarations, id as KeyId);
    if (wanted === undefined) {
      return createReport('missing', [`Version ${version} has no key ${id}.`], {
        key: id,
        version,
      });
    }
    const outcome = await applier.apply(wanted, version);
    if (outcome.type !== 'conflict' || tries === MOST_TRIES) {
      const report = reportOutcome(outcome);
      const advice = `Set \`state: withdrawn\` for key ${id} in your files and commit them.`;
      return report.exit === 'ok' ? { ...report, lines: [...report.lines, advice] } : report;
    }
  }
}

function withdraw(declarations: Declarations, id: KeyId): Declarations | undefined {
  if (!declarations.keys.some((key) => key.id === id)) return undefined;
  const keys = declarations.keys.map((key) =>
    key.id === id ? { ...key, state: 'withdrawn' as const } : key,
  );
  return { ...declarations, keys };
}
