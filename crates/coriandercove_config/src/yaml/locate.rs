//! Lines of keys in a YAML text.
//!
//! The YAML library keeps no places of values, so errors found after decoding need this scan.
//! It knows block and flow collections, quoted keys, comments and block scalars. A key that it
//! does not find gets the line of the nearest key above it.

use std::collections::HashMap;

/// Line of each key path in a text.
#[derive(Debug, Clone, Default)]
pub struct Lines {
    lines: HashMap<String, usize>,
}

/// A collection that is open at the current line.
struct Open {
    /// Column of its keys or dashes.
    column: usize,
    /// Index of the current element if it is a list.
    index: Option<usize>,
    /// Path of the current element.
    path: String,
}

impl Lines {
    /// Scans a text.
    #[must_use]
    pub fn scan(text: &str) -> Self {
        let mut scanner = Scanner::default();
        for (i, line) in text.lines().enumerate() {
            scanner.line(i + 1, line);
        }
        Self {
            lines: scanner.lines,
        }
    }

    /// Line of `key`, or of the nearest key above it, or 1. Without a text, 0.
    #[must_use]
    pub fn line_of(&self, key: &str) -> usize {
        if self.lines.is_empty() {
            return 0;
        }
        let mut key = key;
        loop {
            if let Some(line) = self.lines.get(key) {
                return *line;
            }
            match key.rfind(['.', '[']) {
                Some(end) => key = &key[..end],
                None => return 1,
            }
        }
    }
}

#[derive(Default)]
struct Scanner {
    lines: HashMap<String, usize>,
    open: Vec<Open>,
    /// Column of the key of a block scalar whose lines are skipped.
    scalar: Option<usize>,
    flow: Option<Flow>,
}

impl Scanner {
    fn line(&mut self, number: usize, line: &str) {
        let content = line.trim_start_matches(' ');
        if let Some(mut flow) = self.flow.take() {
            if flow.scan(number, content, &mut self.lines) {
                self.flow = Some(flow);
            }
            return;
        }
        let column = line.len() - content.len();
        if content.trim().is_empty() || content.starts_with('#') {
            return;
        }
        match self.scalar {
            Some(key_column) if column > key_column => return,
            _ => self.scalar = None,
        }
        self.content(number, column, content);
    }

    fn content(&mut self, number: usize, mut column: usize, mut content: &str) {
        while content == "-" || content.starts_with("- ") {
            let path = self.element(column);
            self.lines.entry(path).or_insert(number);
            let rest = content[1..].trim_start_matches(' ');
            column += content.len() - rest.len();
            content = rest;
        }
        if content.starts_with(['{', '[']) {
            let path = self.open.last().map(|o| o.path.clone()).unwrap_or_default();
            self.flow(number, path, content);
            return;
        }
        let Some((key, value)) = split_key(content) else {
            return;
        };
        let path = self.member(column, &key);
        self.lines.entry(path.clone()).or_insert(number);
        if value.starts_with(['|', '>']) {
            self.scalar = Some(column);
        } else if value.starts_with(['{', '[']) {
            self.flow(number, path, value);
        }
    }

    fn flow(&mut self, number: usize, path: String, content: &str) {
        let mut flow = Flow::new(path);
        if flow.scan(number, content, &mut self.lines) {
            self.flow = Some(flow);
        }
    }

    /// Path of the list element whose dash is in `column`.
    fn element(&mut self, column: usize) -> String {
        self.open.retain(|o| o.column <= column);
        let index = match self.open.last() {
            Some(Open {
                column: c,
                index: Some(i),
                ..
            }) if *c == column => {
                let next = i + 1;
                self.open.pop();
                next
            }
            _ => 0,
        };
        let parent = self.open.last().map_or("", |o| o.path.as_str());
        let path = format!("{parent}[{index}]");
        self.open.push(Open {
            column,
            index: Some(index),
            path: path.clone(),
        });
        path
    }

    /// Path of the key in `column`.
    fn member(&mut self, column: usize, key: &str) -> String {
        self.open.retain(|o| o.column < column);
        let path = join(self.open.last().map_or("", |o| o.path.as_str()), key);
        self.open.push(Open {
            column,
            index: None,
            path: path.clone(),
        });
        path
    }
}

fn join(parent: &str, key: &str) -> String {
    if parent.is_empty() {
        key.to_owned()
    } else {
        format!("{parent}.{key}")
    }
}

/// Splits `key: value`. `None` if the text is no key.
fn split_key(content: &str) -> Option<(String, &str)> {
    let (key, rest) = match content.chars().next()? {
        quote @ ('"' | '\'') => {
            let (key, rest) = content[1..].split_once(quote)?;
            (key.to_owned(), rest.trim_start().strip_prefix(':')?)
        }
        _ => {
            let end = content
                .char_indices()
                .find(|(i, c)| {
                    *c == ':' && matches!(content[i + 1..].chars().next(), None | Some(' '))
                })?
                .0;
            (content[..end].trim_end().to_owned(), &content[end + 1..])
        }
    };
    Some((key, rest.trim_start()))
}

/// A flow collection, which may extend over several lines.
struct Flow {
    /// Path of each open collection, with the current index of a list.
    open: Vec<(String, Option<usize>)>,
    /// Text since the last separator.
    token: String,
    /// Path that the next collection gets.
    next: String,
    /// List element whose first character has not been seen yet.
    pending: Option<String>,
    quote: Option<char>,
}

impl Flow {
    fn new(path: String) -> Self {
        Self {
            open: Vec::new(),
            token: String::new(),
            next: path,
            pending: None,
            quote: None,
        }
    }

    /// Scans a line. Returns whether the collection is still open.
    fn scan(&mut self, number: usize, line: &str, lines: &mut HashMap<String, usize>) -> bool {
        let mut chars = line.chars().peekable();
        while let Some(c) = chars.next() {
            if c != ' '
                && c != '#'
                && let Some(path) = self.pending.take()
            {
                lines.entry(path).or_insert(number);
            }
            match (self.quote, c) {
                (Some(quote), c) if c == quote => self.quote = None,
                (Some(_), c) => self.token.push(c),
                (None, '"' | '\'') => self.quote = Some(c),
                (None, '{') => self.open.push((self.next.clone(), None)),
                (None, '[') => self.open_list(),
                (None, '}' | ']') => {
                    self.open.pop();
                    if self.open.is_empty() {
                        return false;
                    }
                }
                (None, ',') => self.separator(),
                (None, ':') if matches!(chars.peek(), None | Some(' ')) => self.key(number, lines),
                (None, '#') => break,
                (None, c) => self.token.push(c),
            }
        }
        true
    }

    fn open_list(&mut self) {
        let path = self.next.clone();
        self.next = format!("{path}[0]");
        self.pending = Some(self.next.clone());
        self.open.push((path, Some(0)));
    }

    fn separator(&mut self) {
        self.token.clear();
        if let Some((path, Some(index))) = self.open.last_mut() {
            *index += 1;
            self.next = format!("{path}[{index}]");
            self.pending = Some(self.next.clone());
        }
    }

    fn key(&mut self, number: usize, lines: &mut HashMap<String, usize>) {
        if let Some((path, None)) = self.open.last() {
            self.next = join(path, self.token.trim());
            lines.entry(self.next.clone()).or_insert(number);
        }
        self.token.clear();
    }
}
