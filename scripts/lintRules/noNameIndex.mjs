/**
 * Lint rule: a name never indexes a plain object. Under names such as `constructor` or `__proto__` it would
 * find what every object inherits, or replace the prototype.
 *
 * It reports an index, a computed pattern and `in` where the object's type has an entry for every string and
 * the name is not one of the names that the code itself spells out.
 */

import ts from 'typescript';

/** @type {import('eslint').Rule.RuleModule} */
export const noNameIndex = {
  meta: {
    type: 'problem',
    schema: [],
    messages: {
      index:
        'read and write tables by `entryOf` and `setEntry`, or use a Map: a name indexes this object.',
    },
  },
  create(context) {
    const services = context.sourceCode.parserServices;
    const checker = services.program.getTypeChecker();

    function partsOf(node) {
      const type = services.getTypeAtLocation(node);
      const known = checker.getBaseConstraintOfType(type) ?? type;
      return known.isUnion() ? known.types : [known];
    }

    /** Whether the type of an expression has an entry for every string. */
    function isTable(node) {
      return partsOf(node).some((part) => part.getStringIndexType() !== undefined);
    }

    /** Whether the code spells out all names that an expression can have. No inherited name is a number. */
    function isSpelledOut(node) {
      return partsOf(node).every((part) => {
        return part.isStringLiteral() || (part.flags & ts.TypeFlags.NumberLike) !== 0;
      });
    }

    function check(node, table, name) {
      if (isTable(table) && !isSpelledOut(name)) context.report({ node, messageId: 'index' });
    }

    return {
      MemberExpression(node) {
        if (node.computed) check(node, node.object, node.property);
      },
      BinaryExpression(node) {
        if (node.operator === 'in') check(node, node.right, node.left);
      },
      'ObjectPattern > Property[computed=true]'(node) {
        check(node, node.parent, node.key);
      },
    };
  },
};
