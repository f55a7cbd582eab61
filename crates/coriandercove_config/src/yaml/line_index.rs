//! Index from key paths to line numbers in a YAML text.
//!
//! The YAML library keeps no positions of values, so errors that are found after decoding need this
//! scan. It handles block and flow collections, quoted keys, comments and block scalars. A key that
//! it does not find gets the line of its nearest known parent.

use std::collections::HashMap;

/// Line number (from 1) of each key path in a text.
#[derive(Debug, Clone, Default)]
pub struct LineIndex {
    lines: HashMap<String, usize>,
}

/// A block collection that contains the current line.
struct OpenCollection {
    /// Column of its keys or dashes, from 0.
    column: usize,
    /// Index of the current element if it is a list.
    index: Option<usize>,
    /// Path of the current element.
    path: String,
}

impl LineIndex {
    /// Scans a text and records the line of every key and list element.
    #[must_use]
    pub fn scan(text: &str) -> Self {
        let mut scanner = Scanner::default();
        for (i, line) in text.lines().enumerate() {
            scanner.scan_line(i + 1, line);
        }
        Self {
            lines: scanner.lines,
        }
    }

    /// Line of `key`, or of its nearest known parent, or 1. If the index is empty, 0.
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
    open: Vec<OpenCollection>,
    /// Column of the key of the block scalar whose lines are being skipped.
    block_scalar: Option<usize>,
    /// Flow collection that continues on the next line.
    flow: Option<FlowScanner>,
}

impl Scanner {
    fn scan_line(&mut self, number: usize, line: &str) {
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
        match self.block_scalar {
            Some(key_column) if column > key_column => return,
            _ => self.block_scalar = None,
        }
        self.scan_content(number, column, content);
    }

    fn scan_content(&mut self, number: usize, mut column: usize, mut content: &str) {
        while content == "-" || content.starts_with("- ") {
            let path = self.enter_element(column);
            self.lines.entry(path).or_insert(number);
            let rest = content[1..].trim_start_matches(' ');
            column += content.len() - rest.len();
            content = rest;
        }
        if content.starts_with(['{', '[']) {
            let path = self.open.last().map(|o| o.path.clone()).unwrap_or_default();
            self.start_flow(number, path, content);
            return;
        }
        let Some((key, value)) = split_key(content) else {
            return;
        };
        let path = self.enter_key(column, &key);
        self.lines.entry(path.clone()).or_insert(number);
        if value.starts_with(['|', '>']) {
            self.block_scalar = Some(column);
        } else if value.starts_with(['{', '[']) {
            self.start_flow(number, path, value);
        }
    }

    fn start_flow(&mut self, number: usize, path: String, content: &str) {
        let mut flow = FlowScanner::new(path);
        if flow.scan(number, content, &mut self.lines) {
            self.flow = Some(flow);
        }
    }

    /// Opens the list element whose dash is in `column` and returns its path.
    fn enter_element(&mut self, column: usize) -> String {
        self.open.retain(|o| o.column <= column);
        let index = match self.open.last() {
            Some(OpenCollection {
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
        self.open.push(OpenCollection {
            column,
            index: Some(index),
            path: path.clone(),
        });
        path
    }

    /// Opens the key in `column` and returns its path.
    fn enter_key(&mut self, column: usize, key: &str) -> String {
        self.open.retain(|o| o.column < column);
        let path = join(self.open.last().map_or("", |o| o.path.as_str()), key);
        self.open.push(OpenCollection {
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

/// Splits `key: value`. `None` if the text does not start with a key.
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

/// Scanner of one flow collection (`{..}` or `[..]`), which may extend over several lines.
struct FlowScanner {
    /// Path of each open collection, with the current index of a list.
    open: Vec<(String, Option<usize>)>,
    /// Text since the last separator.
    token: String,
    /// Path of the next nested collection.
    next_path: String,
    /// List element whose first character has not been seen yet.
    pending_element: Option<String>,
    quote: Option<char>,
}

impl FlowScanner {
    fn new(path: String) -> Self {
        Self {
            open: Vec::new(),
            token: String::new(),
            next_path: path,
            pending_element: None,
            quote: None,
        }
    }

    /// Scans a line. Returns whether the collection continues on the next line.
    fn scan(&mut self, number: usize, line: &str, lines: &mut HashMap<String, usize>) -> bool {
        let mut chars = line.chars().peekable();
        while let Some(c) = chars.next() {
            if c != ' '
                && c != '#'
                && let Some(path) = self.pending_element.take()
            {
                lines.entry(path).or_insert(number);
            }
            match (self.quote, c) {
                (Some(quote), c) if c == quote => self.quote = None,
                (Some(_), c) => self.token.push(c),
                (None, '"' | '\'') => self.quote = Some(c),
                (None, '{') => self.open.push((self.next_path.clone(), None)),
                (None, '[') => self.open_list(),
                (None, '}' | ']') => {
                    self.open.pop();
                    if self.open.is_empty() {
                        return false;
                    }
                }
                (None, ',') => self.separator(),
                (None, ':') if matches!(chars.peek(), None | Some(' ')) => {
                    self.record_key(number, lines);
                }
                (None, '#') => break,
                (None, c) => self.token.push(c),
            }
        }
        true
    }

    fn open_list(&mut self) {
        let path = self.next_path.clone();
        self.next_path = format!("{path}[0]");
        self.pending_element = Some(self.next_path.clone());
        self.open.push((path, Some(0)));
    }

    fn separator(&mut self) {
        self.token.clear();
        if let Some((path, Some(index))) = self.open.last_mut() {
            *index += 1;
            self.next_path = format!("{path}[{index}]");
            self.pending_element = Some(self.next_path.clone());
        }
    }

    fn record_key(&mut self, number: usize, lines: &mut HashMap<String, usize>) {
        if let Some((path, None)) = self.open.last() {
            self.next_path = join(path, self.token.trim());
            lines.entry(self.next_path.clone()).or_insert(number);
        }
        self.token.clear();
    }
}
