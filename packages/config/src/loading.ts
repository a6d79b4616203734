/** Loads declarations from a directory of YAML files. */
import { readFile, readdir } from 'node:fs/promises';
import { join } from 'node:path';

import { type Result, type ResultAsync, err, fromPromise } from 'neverthrow';
import { type Document, LineCounter, isNode, parseAllDocuments, stringify } from 'yaml';
import { z } from 'zod';

import { API_VERSION, type Declarations } from './declarations';
import { SECTIONS, type Section } from './difference';
import { type ProblemPath, formatPath, parseDeclarations } from './validation';

/** A problem in a file of declarations. */
export interface FileProblem {
  readonly file: string;
  /** The line number, from 1; 0 when the problem concerns the whole file. */
  readonly line: number;
  /** The path in the document, such as `keys[3].team`; empty for the whole document. */
  readonly path: string;
  readonly message: string;
}

/** A file and its text. */
export interface SourceFile {
  readonly file: string;
  readonly text: string;
}

/** A YAML document of a file; a file may hold several. */
interface ParsedDocument {
  readonly file: string;
  readonly doc: Document.Parsed;
  readonly lines: LineCounter;
}

/** The document that an item was read from, and the item's index in its section there. */
interface ItemOrigin {
  readonly source: ParsedDocument;
  readonly index: number;
}

/** The items read so far, with the origin of each at the same index, and the problems found. */
interface LoadState {
  readonly problems: FileProblem[];
  readonly merged: Record<Section, unknown[]>;
  readonly origins: Record<Section, ItemOrigin[]>;
}

const YAML_EXTENSION = /\.ya?ml$/;

const DocumentSchema = z.strictObject({
  apiVersion: z.literal(API_VERSION),
  teams: z.array(z.unknown()).optional(),
  keys: z.array(z.unknown()).optional(),
  services: z.array(z.unknown()).optional(),
  trainers: z.array(z.unknown()).optional(),
});

/**
 * Loads all `.yaml` and `.yml` files of a directory, in the order of their names.
 *
 * @param directory - the directory; subdirectories are not read
 * @returns the declarations of all files together, or every problem found
 */
export function loadDeclarations(directory: string): ResultAsync<Declarations, FileProblem[]> {
  return fromPromise(readFiles(directory), (error): FileProblem[] => [
    { file: directory, line: 0, path: '', message: describeError(error) },
  ]).andThen((files) => {
    if (files.length > 0) return readDeclarations(files);
    return err([
      {
        file: directory,
        line: 0,
        path: '',
        message: 'the directory contains no .yaml or .yml file',
      },
    ]);
  });
}

/**
 * Reads declarations from the text of files.
 *
 * @param files - the files
 * @returns the declarations of all files together, or every problem found
 */
export function readDeclarations(
  files: readonly SourceFile[],
): Result<Declarations, FileProblem[]> {
  const loaded: LoadState = {
    problems: [],
    merged: createEmptySections(),
    origins: createEmptySections(),
  };
  files.forEach((file) => parseFile(file, loaded));
  // References to items of a file that could not be read would be reported as problems too.
  if (loaded.problems.length > 0) return err(loaded.problems);
  const parsed = parseDeclarations(loaded.merged);
  return parsed.mapErr((problems) =>
    problems.map(({ path, message }) => locateProblem(loaded, path, message)),
  );
}

/**
 * Formats a problem on one line.
 *
 * @param problem - the problem
 * @returns text such as `keys.yaml:7: keys[3].team: no team is named x`
 */
export function formatProblem(problem: FileProblem): string {
  const location = problem.line > 0 ? `${problem.file}:${problem.line}` : problem.file;
  return [location, problem.path, problem.message].filter((part) => part !== '').join(': ');
}

/**
 * Formats sections of declarations as YAML.
 *
 * @param sections - sections with their items
 * @returns the YAML, without a trailing line break
 */
export function formatYaml(sections: Partial<Record<Section, readonly object[]>>): string {
  return stringify(sections).trimEnd();
}

async function readFiles(directory: string): Promise<SourceFile[]> {
  const names = (await readdir(directory)).filter((name) => YAML_EXTENSION.test(name)).sort();
  return Promise.all(
    names.map(async (name) => {
      const file = join(directory, name);
      return { file, text: await readFile(file, 'utf8') };
    }),
  );
}

function parseFile(file: SourceFile, loaded: LoadState): void {
  const lines = new LineCounter();
  const docs = parseAllDocuments(file.text, { lineCounter: lines, prettyErrors: false });
  if (!Array.isArray(docs)) return;
  docs.forEach((doc) => collectItems({ file: file.file, doc, lines }, loaded));
}

function collectItems(source: ParsedDocument, loaded: LoadState): void {
  const { doc, lines, file } = source;
  if (doc.errors.length > 0) {
    doc.errors.forEach((error) => {
      const { line } = lines.linePos(error.pos[0]);
      loaded.problems.push({ file, line, path: '', message: error.message });
    });
    return;
  }
  const shape = DocumentSchema.safeParse(doc.toJS());
  if (!shape.success) {
    shape.error.issues.forEach((issue) => {
      const path = issue.path.filter((part) => typeof part !== 'symbol');
      loaded.problems.push(locateInDocument(source, path, formatPath(path), issue.message));
    });
    return;
  }
  SECTIONS.forEach((section) => {
    (shape.data[section] ?? []).forEach((item, index) => {
      loaded.merged[section].push(item);
      loaded.origins[section].push({ source, index });
    });
  });
}

function locateProblem(loaded: LoadState, path: ProblemPath, message: string): FileProblem {
  const [section, mergedIndex, ...rest] = path;
  const origin = loaded.origins[section as Section][mergedIndex as number];
  if (origin === undefined) return { file: '', line: 0, path: formatPath(path), message };
  const pathInDocument: ProblemPath = [section as Section, origin.index, ...rest];
  return locateInDocument(origin.source, pathInDocument, formatPath(pathInDocument), message);
}

function locateInDocument(
  source: ParsedDocument,
  path: ProblemPath,
  text: string,
  message: string,
): FileProblem {
  const node = findNode(source.doc, path);
  const start = isNode(node) ? node.range?.[0] : undefined;
  const { line } = source.lines.linePos(start ?? source.doc.range[0]);
  return { file: source.file, line: Math.max(line, 1), path: text, message };
}

/** Finds the node at a path, or its nearest ancestor when a field is missing. */
function findNode(doc: Document.Parsed, path: ProblemPath): unknown {
  for (let { length } = path; length > 0; length -= 1) {
    const node = doc.getIn(path.slice(0, length), true);
    if (node !== undefined) return node;
  }
  return doc.contents;
}

function createEmptySections<T>(): Record<Section, T[]> {
  return { teams: [], keys: [], services: [], trainers: [] };
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
