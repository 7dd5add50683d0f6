/** Checks the links between the pages. */
import {existsSync, readdirSync, readFileSync, statSync} from 'node:fs';
import {dirname, join} from 'node:path';

const SKIPPED_FOLDERS = new Set(['node_modules', 'build', '.git', 'out']);

/** Lists the paths of all Markdown pages below a folder. */
export function listPages(folder = '.'): string[] {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    if (SKIPPED_FOLDERS.has(entry.name)) return [];
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return listPages(path);
    return entry.name.endsWith('.md') ? [path] : [];
  });
}

/** Lists the links of a page whose file or anchor does not exist. */
export function findBrokenLinks(path: string): string[] {
  const text = readFileSync(path, 'utf8');
  return listLinks(text)
    .filter(link => !isLinkValid(path, text, link))
    .map(link => `${path}: broken link to ${link}`);
}

/** Lists the link targets of a page, without external links and links in code. */
export function listLinks(text: string): string[] {
  const prose = text.replace(/```[\s\S]*?```/g, '').replace(/`[^`\n]*`/g, '`');
  return [...prose.matchAll(/\]\(([^)\s]+)\)/g)]
    .map(([, target]) => target)
    .filter(target => !/^[a-z]+:/.test(target));
}

/** Lists the anchors that are derived from the headings of a page. */
export function listAnchors(text: string): string[] {
  return [...text.matchAll(/^#+ (.+)$/gm)].map(([, heading]) =>
    heading
      .toLowerCase()
      .replace(/[^\p{L}\p{N} _-]/gu, '')
      .replaceAll(' ', '-'),
  );
}

function isLinkValid(page: string, text: string, link: string): boolean {
  const [file, anchor] = link.split('#');
  const path = file === '' ? page : join(dirname(page), file);
  if (!existsSync(path)) return false;
  if (anchor === undefined || statSync(path).isDirectory()) return true;
  const target = file === '' ? text : readFileSync(path, 'utf8');
  return listAnchors(target).includes(anchor);
}
