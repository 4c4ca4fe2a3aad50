import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type ChangeId, type Configuration, configurationSchema, type Failure, failure, type Revision, toId, toRevision,
} from '@valehitch/core';
import {compilePolicies} from '@valehitch/policy';
import {checkReferences} from '@valehitch/settings';
import {answerProblem, parseJsonBody, readBody} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';
import {answerJson} from '../answer-json.js';
import {bearerDigest} from '../bearer.js';
import {sha256} from '../digest.js';
import {type OperatorContext} from './operator-context.js';

const entityTagPattern = /^"(?<revision>\d{1,15})"$/v;
/** An operator's key is told by the start of its digest, as in the settings. */
const operatorNameDigits = 12;
const maximumConfigurationBytes = 4_194_304;

type Change = {
	readonly changeId: ChangeId;
	readonly expectedRevision: Revision;
	readonly document: Configuration;
};

/**
Checks a new document and has the control role commit it.

@param request The operator's request.
@param response The response.
@param context What the port works with.
@example
```ts
await applyConfiguration(request, response, context);
```
*/
export async function applyConfiguration(request: IncomingMessage, response: ServerResponse, context: OperatorContext): Promise<void> {
	const body = await readBody(request, maximumConfigurationBytes);
	const change = body.chain(bytes => readChange(request, bytes));
	if (change.isLeft()) {
		answerProblem(response, change.extract());
		return;
	}

	const {changeId, expectedRevision, document} = change.extract() as Change;
	const result = await context.control.propose({
		type: 'apply-configuration',
		changeId,
		expectedRevision,
		document,
		digest: sha256(JSON.stringify(document)),
		operator: bearerDigest(request)?.slice(0, operatorNameDigits),
		at: context.base.clock.now().getTime(),
	});
	if (result.isLeft()) {
		answerProblem(response, result.extract());
		return;
	}

	const {revision} = result.unsafeCoerce();
	const inForce = await context.distribution.inForce();
	answerJson(response, {revision, committed: true, inForce: inForce ?? {complete: false, waitingFor: []}}, {
		headers: {ETag: `"${revision}"`},
	});
}

function readChange(request: IncomingMessage, bytes: Uint8Array): Either<Failure, Change> {
	const changeId = request.headers['valehitch-change-id'];
	if (typeof changeId !== 'string' || changeId.length > 128) {
		return Left(failure('malformed-request', 'Got no header Valehitch-Change-Id, wanted 1 to 128 characters'));
	}

	const revision = entityTagPattern.exec(request.headers['if-match'] ?? '')?.groups?.revision;
	if (revision === undefined) {
		return Left(failure('malformed-request', `Got If-Match ${request.headers['if-match'] ?? 'absent'}, wanted the revision in quotes`));
	}

	return readDocument(bytes).map(document => ({
		changeId: toId<ChangeId>(changeId), expectedRevision: toRevision(Number(revision)), document,
	}));
}

function readDocument(bytes: Uint8Array): Either<Failure, Configuration> {
	return parseJsonBody({bytes, schema: configurationSchema}, {misfitKind: 'invalid-configuration'}).chain(checkDocument);
}

function checkDocument(document: Configuration): Either<Failure, Configuration> {
	const [finding] = checkReferences(document);
	if (finding !== undefined) {
		return Left(failure('invalid-configuration', `${finding.path.join('.')}: got ${finding.got}, wanted ${finding.wanted}`));
	}

	return compilePolicies(document).chain(() => Right(document));
}
