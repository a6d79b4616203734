/** The commands `key create` and `key withdraw`. */
import type { KeyId } from '@hibiscushill/base';
import { type Declarations, createKey, formatYaml } from '@hibiscushill/config';

import { ChangeApplier } from './change-applier';
import type { CommandContext } from './context';
import { reportOutcome } from './declaration-commands';
import { type Report, createReport } from './report';

// A withdrawal is valid on any version, so it is repeated when another change was accepted first.
const MAX_ATTEMPTS = 8;

/** Generates a key and reports its declaration and token. Neither is stored. */
export function createKeyCommand(team: string): Report {
  const key = createKey();
  const keyDeclaration = { id: key.id, team, hash: key.hash, state: 'active' };
  const yaml = formatYaml({ keys: [keyDeclaration] });
  const lines = [
    '# Add this to your declarations, then run apply:',
    ...yaml.split('\n'),
    '# Give this token to the team. It cannot be shown again:',
    `# ${key.token}`,
  ];
  return createReport('ok', lines, { declaration: keyDeclaration, token: key.token });
}

/** Withdraws a key in the configuration in force; a conflict with another change is retried. */
export async function withdrawKey(context: CommandContext, id: string): Promise<Report> {
  for (let attempt = 1; ; attempt += 1) {
    const applier = new ChangeApplier(context);
    const read = await applier.reader.catchUp();
    if (read.isErr()) return reportOutcome({ type: 'unavailable', failure: read.error });
    const { state, isComplete, version } = applier.reader;
    if (!isComplete) return reportOutcome({ type: 'detached' });
    const desired = state && markWithdrawn(state.declarations, id as KeyId);
    if (desired === undefined) {
      return createReport('missing', [`Version ${version} has no key ${id}.`], {
        key: id,
        version,
      });
    }
    const outcome = await applier.apply(desired, version);
    if (outcome.type !== 'conflict' || attempt === MAX_ATTEMPTS) {
      const report = reportOutcome(outcome);
      const advice = `Set \`state: withdrawn\` for key ${id} in your files and commit them.`;
      return report.exit === 'ok' ? { ...report, lines: [...report.lines, advice] } : report;
    }
  }
}

function markWithdrawn(declarations: Declarations, id: KeyId): Declarations | undefined {
  if (!declarations.keys.some((key) => key.id === id)) return undefined;
  const keys = declarations.keys.map((key) =>
    key.id === id ? { ...key, state: 'withdrawn' as const } : key,
  );
  return { ...declarations, keys };
}
