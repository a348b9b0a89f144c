/**
 * Finds the items that a source file exports without a doc comment.
 *
 * The files are parsed by ts-morph with its bundled compiler, since TypeScript 7 has no JavaScript API.
 */
import { Node, Scope, SyntaxKind, ts } from 'ts-morph';
import type { ClassDeclaration, ClassMemberTypes, ParameterDeclaration, SourceFile } from 'ts-morph';

/** One item that lacks a doc comment. */
export interface MissingDoc {
  /** Path of the file in the ts-morph project. */
  readonly file: string;
  /** Line of the item, from 1. */
  readonly line: number;
  /** What the item is: `module`, `function`, `const`, `class`, `interface`, `type`, `enum` or `member`. */
  readonly kind: string;
  /** Name of the item: `Class.member` for a member, the base name of the file for a module. */
  readonly name: string;
}

const kindNames: ReadonlyMap<SyntaxKind, string> = new Map([
  [SyntaxKind.FunctionDeclaration, 'function'],
  [SyntaxKind.VariableDeclaration, 'const'],
  [SyntaxKind.ClassDeclaration, 'class'],
  [SyntaxKind.InterfaceDeclaration, 'interface'],
  [SyntaxKind.TypeAliasDeclaration, 'type'],
  [SyntaxKind.EnumDeclaration, 'enum'],
]);

const docText = (comment: string): string => comment.replace(/^\/\*\*|\*\/$/g, '').replace(/^\s*\*/gm, '');

const isDoc = (comment: string): boolean => comment.startsWith('/**') && /\p{L}/u.test(docText(comment));

const docsBefore = (node: Node): string[] =>
  node
    .getLeadingCommentRanges()
    .map((range) => range.getText())
    .filter(isDoc);

const hasDoc = (node: Node): boolean => docsBefore(node).length > 0;

/** The compiler treats a comment between a bracket or comma and a parameter on the same line as trailing that token. */
const hasParameterDoc = (parameter: ParameterDeclaration): boolean => {
  const text = parameter.getSourceFile().getFullText();
  const ranges = ts.getTrailingCommentRanges(text, parameter.getPos()) ?? [];
  return hasDoc(parameter) || ranges.some(({ pos, end }) => isDoc(text.slice(pos, end)));
};

/** Doc comments before an import or a re-export belong to the module. Before a declaration, the last one belongs to it. */
const hasModuleDoc = (file: SourceFile): boolean => {
  const first = file.getStatements()[0];
  if (first === undefined) return true;
  const documentsDeclaration = !Node.isImportDeclaration(first) && !Node.isExportDeclaration(first);
  return docsBefore(first).length > (documentsDeclaration ? 1 : 0);
};

const documentedNode = (declaration: Node): Node =>
  Node.isVariableDeclaration(declaration) ? (declaration.getVariableStatement() ?? declaration) : declaration;

const isPublic = (member: ClassMemberTypes | ParameterDeclaration): boolean =>
  Node.isModifierable(member) &&
  !member.hasModifier(SyntaxKind.PrivateKeyword) &&
  !member.hasModifier(SyntaxKind.ProtectedKeyword) &&
  !(Node.hasName(member) && member.getName().startsWith('#'));

/** Names of the members that a base class or an implemented interface declares, and documents. */
const inheritedNames = (owner: ClassDeclaration): ReadonlySet<string> => {
  const bases = [...owner.getImplements(), ...[owner.getExtends()].filter((base) => base !== undefined)];
  return new Set(
    bases.flatMap((base) =>
      base
        .getType()
        .getProperties()
        .map((property) => property.getName()),
    ),
  );
};

const parametersWithoutDoc = (owner: ClassDeclaration): ParameterDeclaration[] =>
  owner.getConstructors().flatMap((declaration) => {
    const described = declaration
      .getJsDocs()
      .flatMap((doc) => doc.getTags())
      .filter(Node.isJSDocParameterTag)
      .map((tag) => tag.getName());
    return declaration
      .getParameters()
      .filter((parameter) => parameter.isParameterProperty() && parameter.getScope() !== Scope.Private)
      .filter(
        (parameter) => isPublic(parameter) && !described.includes(parameter.getName()) && !hasParameterDoc(parameter),
      );
  });

const membersWithoutDoc = (owner: ClassDeclaration): readonly (ClassMemberTypes | ParameterDeclaration)[] => {
  const members = owner
    .getMembers()
    .filter((member) => !Node.isConstructorDeclaration(member) && !Node.isParameterDeclaration(member))
    .filter((member) => !Node.isClassStaticBlockDeclaration(member) && isPublic(member) && !hasDoc(member));
  const undocumented = [...members, ...parametersWithoutDoc(owner)];
  if (undocumented.length === 0) return undocumented;
  const inherited = inheritedNames(owner);
  const accessors = new Set(
    owner
      .getGetAccessors()
      .filter(hasDoc)
      .map((getter) => getter.getName()),
  );
  return undocumented.filter((member) => {
    if (!Node.hasName(member)) return true;
    if (Node.isOverrideable(member) && member.hasOverrideKeyword()) return false;
    return (
      !inherited.has(member.getName()) && !(Node.isSetAccessorDeclaration(member) && accessors.has(member.getName()))
    );
  });
};

const inFile = (file: SourceFile): MissingDoc[] => {
  const path = file.getFilePath();
  const missing: MissingDoc[] = [];
  const report = (node: Node, kind: string, name: string): void => {
    missing.push({ file: path, line: node.getStartLineNumber(), kind, name });
  };
  if (!hasModuleDoc(file)) report(file.getStatements()[0] ?? file, 'module', file.getBaseName());
  for (const [name, declarations] of file.getExportedDeclarations()) {
    const ownDeclarations = declarations.filter((declaration) => declaration.getSourceFile() === file);
    const isDocumented = ownDeclarations.some((declaration) => hasDoc(documentedNode(declaration)));
    const first = ownDeclarations.find((declaration) => kindNames.has(declaration.getKind()));
    if (first !== undefined && !isDocumented) report(first, kindNames.get(first.getKind()) ?? '', name);
    for (const owner of ownDeclarations.filter(Node.isClassDeclaration))
      for (const member of membersWithoutDoc(owner))
        report(member, 'member', `${name}.${Node.hasName(member) ? member.getName() : member.getText()}`);
  }
  return missing.sort((a, b) => a.line - b.line);
};

/**
 * Finds exported items without a doc comment.
 *
 * An item is a function, const, class, interface, type alias or enum that the file that declares it exports, or a public
 * member of an exported class that neither overrides nor implements a member of a base class or interface. A module
 * needs its own comment at the top of the file. A comment counts if it begins with two stars and contains a letter.
 */
export const missingDocs = { inFile };
