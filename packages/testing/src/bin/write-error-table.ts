import {readFile, writeFile} from 'node:fs/promises';
import {replaceErrorTable} from '../error-table.js';

const pageUrl = new URL('../../../../docs/API.md', import.meta.url);
const page = await readFile(pageUrl, 'utf8');
await writeFile(pageUrl, replaceErrorTable(page));
