import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type ChangeId, type Configuration, configurationSchema, type Failure, failure, type Revision, toId, toRevision,
} from '@valehitch/core';
import {compilePolicies} from '@valehitch/policy';
import {checkReferences} from '@valehitch/settings';
import {sendProblem, parseJsonBody, readBody} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';
import {answerJson} from '../answer-json.js';
import {bearerDigest} from '../bearer.js';
import {sha256} from '../digest.js';
import {type OperatorContext} from './operator-context.js';

const entityTagPattern = /^"(?<revision>\d{1,15})"$/v;
/** The length of the prefix of its key digest by which a committed change identifies the operator. */
const operatorDigestPrefixLength = 12;
const maximumConfigurationBytes = 4_194_304;

type Change = {
	readonly changeId: ChangeId;
	readonly expectedRevision: Revision;
	readonly document: Configuration;
};

/**
Validates a new configuration document and commits it through the control role: `PUT /v1/configuration`.

@param request The operator's request, with the headers `Valehitch-Change-Id` and `If-Match`.
@param response The response, which is sent once the change is committed or rejected.
@param context The components that the operator port uses.
@example
```ts
await applyConfiguration(request, response, context);
```
*/
export async function applyConfiguration(request: IncomingMessage, response: ServerResponse, context: OperatorContext): Promise<void> {
	const body = await readBody(request, maximumConfigurationBytes);
	const change = body.chain(bytes => readChange(request, bytes));
	if (change.isLeft()) {
		sendProblem(response, change.extract());
		return;
	}

	const {changeId, expectedRevision, document} = change.extract() as Change;
	const result = await context.control.propose({
		type: 'apply-configuration',
		changeId,
		expectedRevision,
		document,
		digest: sha256(JSON.stringify(document)),
		operator: bearerDigest(request)?.slice(0, operatorDigestPrefixLength),
		at: context.base.clock.now().getTime(),
	});
	if (result.isLeft()) {
		sendProblem(response, result.extract());
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
		return Left(failure('malformed-request', 'The header Valehitch-Change-Id is missing or longer than 128 characters'));
	}

	const revision = entityTagPattern.exec(request.headers['if-match'] ?? '')?.groups?.revision;
	if (revision === undefined) {
		return Left(failure('malformed-request', `The header If-Match is ${request.headers['if-match'] ?? 'absent'}; expected the revision in quotes`));
	}

	return readDocument(bytes).map(document => ({
		changeId: toId<ChangeId>(changeId), expectedRevision: toRevision(Number(revision)), document,
	}));
}

function readDocument(bytes: Uint8Array): Either<Failure, Configuration> {
	return parseJsonBody({bytes, schema: configurationSchema}, {schemaMismatchKind: 'invalid-configuration'}).chain(checkDocument);
}

function checkDocument(document: Configuration): Either<Failure, Configuration> {
	const [finding] = checkReferences(document);
	if (finding !== undefined) {
		return Left(failure('invalid-configuration', `${finding.path.join('.')}: got ${finding.got}, expected ${finding.wanted}`));
	}

	return compilePolicies(document).chain(() => Right(document));
}
