import {type z} from 'zod';

/**
Casts a schema to the type of its output, with branded ids in place of plain strings.

The cast performs no validation of its own; the schema must produce the shape of `Value`.

@param schema A schema whose output has the shape of `Value`.
@returns The same schema.
@example
```ts
const memberSchema = typedSchema<Member>(z.strictObject({instance: z.string()}));
```
*/
export function typedSchema<Value>(schema: z.ZodType): z.ZodType<Value> {
	return schema as z.ZodType<Value>;
}
